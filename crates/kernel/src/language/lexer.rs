//! Lexical parsers for words, values and symbols, and the parse error.

use std::fmt;
use std::str::FromStr;

use winnow::ascii::multispace0;
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Stream;
use winnow::token::{literal, take_till, take_while};

use super::query::QueryValue;

/// A syntax error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LanguageError {
    /// Column of the first unexpected character, counted in characters from 1.
    pub column: usize,
    /// Comma-separated words or descriptions of what may stand there.
    pub expected: String,
    /// The word found there; empty at the end of the text.
    pub found: String,
}

impl fmt::Display for LanguageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            column,
            expected,
            found,
        } = self;
        match found.is_empty() {
            true => write!(f, "column {column}: expected {expected}, found the end"),
            false => write!(f, "column {column}: expected {expected}, found {found:?}"),
        }
    }
}

impl std::error::Error for LanguageError {}

/// Result of parsing a statement.
pub type Result<T> = std::result::Result<T, LanguageError>;

/// Error context that holds what was expected.
pub(crate) type ExpectedContext = ContextError<String>;
/// Result of parsing a part of a statement, as `winnow` needs it.
pub(crate) type PartResult<T> = std::result::Result<T, ErrMode<ExpectedContext>>;

/// Whether a character may be part of an unquoted word.
pub(crate) fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:-/".contains(c)
}

/// Fails at the current position, without trying alternatives.
pub(crate) fn expected<T>(what: impl Into<String>) -> PartResult<T> {
    let mut error = ExpectedContext::new();
    error.push(what.into());
    Err(ErrMode::Cut(error))
}

/// The next word, without consuming it.
pub(crate) fn peek_word<'a>(input: &mut &'a str) -> Option<&'a str> {
    let start = input.checkpoint();
    let word = consume_word(input).ok();
    input.reset(&start);
    word
}

fn consume_word<'a>(input: &mut &'a str) -> PartResult<&'a str> {
    (take_while(1.., is_word_char), multispace0)
        .map(|(word, _)| word)
        .parse_next(input)
}

/// Parses a word; `what` describes it in the error.
pub(crate) fn word<'a>(input: &mut &'a str, what: &str) -> PartResult<&'a str> {
    match consume_word(input) {
        Ok(word) => Ok(word),
        Err(_) => expected(what),
    }
}

/// Parses one of the given words.
pub(crate) fn one_of<'a>(input: &mut &'a str, words: &[&str]) -> PartResult<&'a str> {
    match peek_word(input) {
        Some(word) if words.contains(&word) => consume_word(input),
        _ => expected(words.join(", ")),
    }
}

/// Parses exactly this word.
pub(crate) fn keyword(input: &mut &str, keyword: &str) -> PartResult<()> {
    one_of(input, &[keyword]).map(|_| ())
}

/// Consumes this word if it is next; returns whether it was.
pub(crate) fn take_keyword(input: &mut &str, keyword: &str) -> bool {
    let found = peek_word(input) == Some(keyword);
    if found {
        let _ = consume_word(input);
    }
    found
}

/// Parses a word or quoted text into a type; `what` describes it in the error.
pub(crate) fn parsed<T: FromStr>(input: &mut &str, what: &str) -> PartResult<T> {
    let start = input.checkpoint();
    let text = text(input, what)?;
    match text.parse() {
        Ok(parsed) => Ok(parsed),
        Err(_) => {
            input.reset(&start);
            expected(what)
        }
    }
}

/// Parses one of the given symbols. Longer ones must come first, or `<` would match `<=`.
pub(crate) fn symbol<'a>(input: &mut &'a str, symbols: &[&'static str]) -> PartResult<&'a str> {
    for symbol in symbols {
        let parsed: PartResult<(&str, &str)> = (literal(*symbol), multispace0).parse_next(input);
        if let Ok((found, _)) = parsed {
            return Ok(found);
        }
    }
    expected(symbols.join(" "))
}

/// Parses a word or quoted text, in which a backslash escapes the next character.
pub(crate) fn text(input: &mut &str, what: &str) -> PartResult<String> {
    if !input.starts_with('"') {
        return word(input, what).map(str::to_owned);
    }
    let start = input.checkpoint();
    let mut pieces = String::new();
    let _ = input.next_token();
    loop {
        let piece: PartResult<&str> = take_till(0.., ['"', '\\']).parse_next(input);
        pieces += piece.unwrap_or_default();
        match input.next_token() {
            Some('"') => break,
            Some('\\') => pieces.extend(input.next_token()),
            _ => {
                input.reset(&start);
                return expected("a closing quote");
            }
        }
    }
    let _: PartResult<&str> = multispace0.parse_next(input);
    Ok(pieces)
}

/// Parses a value. Quoted digits are text, and so are numbers with leading zeros.
pub(crate) fn value(input: &mut &str, what: &str) -> PartResult<QueryValue> {
    let quoted = input.starts_with('"');
    let text = text(input, what)?;
    Ok(match text.parse::<u64>() {
        Ok(number) if !quoted && number.to_string() == text => QueryValue::Number(number),
        _ => QueryValue::Text(text),
    })
}

/// Formats text for a statement. It is quoted unless it is a word that does not parse as a number.
pub(crate) struct QuotedText<'a>(pub &'a str);

impl fmt::Display for QuotedText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(text) = self;
        let plain = !text.is_empty() && text.chars().all(is_word_char);
        if plain && text.parse::<u64>().is_err() {
            return f.write_str(text);
        }
        f.write_str("\"")?;
        for c in text.chars() {
            if c == '"' || c == '\\' {
                f.write_str("\\")?;
            }
            write!(f, "{c}")?;
        }
        f.write_str("\"")
    }
}

/// Formats text where the grammar takes no number, such as a version, so digits need no quotes.
pub(crate) struct QuotedWord<'a>(pub &'a str);

impl fmt::Display for QuotedWord<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.parse::<u64>() {
            Ok(number) if number.to_string() == self.0 => f.write_str(self.0),
            _ => QuotedText(self.0).fmt(f),
        }
    }
}
