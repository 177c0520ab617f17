//! Words, values and errors of the language.

use std::fmt;
use std::str::FromStr;

use winnow::ascii::multispace0;
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Stream;
use winnow::token::{literal, take_till, take_while};

use super::query::QueryValue;

/// Why a text is not a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LanguageError {
    /// Column of the first character that does not fit, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
    /// What stands there instead; empty at the end of the text.
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

/// Context that says what was expected.
pub(crate) type Expected = ContextError<String>;
/// Result of parsing a part of a statement.
pub(crate) type PartResult<T> = std::result::Result<T, ErrMode<Expected>>;

/// Whether a character may stand in a word.
pub(crate) fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:-/".contains(c)
}

/// Fails at the current place.
pub(crate) fn expected<T>(what: impl Into<String>) -> PartResult<T> {
    let mut error = Expected::new();
    error.push(what.into());
    Err(ErrMode::Cut(error))
}

/// The next word, if there is one.
pub(crate) fn peek_word<'a>(input: &mut &'a str) -> Option<&'a str> {
    let start = input.checkpoint();
    let word = raw_word(input).ok();
    input.reset(&start);
    word
}

fn raw_word<'a>(input: &mut &'a str) -> PartResult<&'a str> {
    (take_while(1.., is_word_char), multispace0)
        .map(|(word, _)| word)
        .parse_next(input)
}

/// A word; `what` names it in the error.
pub(crate) fn word<'a>(input: &mut &'a str, what: &str) -> PartResult<&'a str> {
    match raw_word(input) {
        Ok(word) => Ok(word),
        Err(_) => expected(what),
    }
}

/// One of some words.
pub(crate) fn one_of<'a>(input: &mut &'a str, words: &[&str]) -> PartResult<&'a str> {
    match peek_word(input) {
        Some(word) if words.contains(&word) => raw_word(input),
        _ => expected(words.join(", ")),
    }
}

/// Exactly this word.
pub(crate) fn keyword(input: &mut &str, keyword: &str) -> PartResult<()> {
    one_of(input, &[keyword]).map(|_| ())
}

/// Takes this word if it is next.
pub(crate) fn take_keyword(input: &mut &str, keyword: &str) -> bool {
    let found = peek_word(input) == Some(keyword);
    if found {
        let _ = raw_word(input);
    }
    found
}

/// A word or quoted text that is read into a type; `what` names it in the error.
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

/// A sign such as `=`; longer signs stand first in the list.
pub(crate) fn sign<'a>(input: &mut &'a str, signs: &[&'static str]) -> PartResult<&'a str> {
    for sign in signs {
        let parsed: PartResult<(&str, &str)> = (literal(*sign), multispace0).parse_next(input);
        if let Ok((found, _)) = parsed {
            return Ok(found);
        }
    }
    expected(signs.join(" "))
}

/// A word or quoted text.
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

/// A value: quoted text, a number, or a word.
pub(crate) fn value(input: &mut &str, what: &str) -> PartResult<QueryValue> {
    let quoted = input.starts_with('"');
    let text = text(input, what)?;
    Ok(match text.parse::<u64>() {
        Ok(number) if !quoted && number.to_string() == text => QueryValue::Number(number),
        _ => QueryValue::Text(text),
    })
}

/// Text as it is written in a statement: quoted unless it is a word that is no number.
pub(crate) struct WrittenText<'a>(pub &'a str);

impl fmt::Display for WrittenText<'_> {
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

/// A text such as a version, for which digits need no quotes.
pub(crate) struct WrittenWord<'a>(pub &'a str);

impl fmt::Display for WrittenWord<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.parse::<u64>() {
            Ok(number) if number.to_string() == self.0 => f.write_str(self.0),
            _ => WrittenText(self.0).fmt(f),
        }
    }
}
