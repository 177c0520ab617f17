//! Completion: what may follow a text, as the parser itself expects it.

use super::parser::parse;

/// A character that no statement may hold outside quotes.
const PROBE: char = '\u{1}';

/// The words that may stand at the end of a text, and where the last word of the text starts, in
/// bytes.
pub fn complete(text: &str) -> (usize, Vec<String>) {
    let start = text.rfind(char::is_whitespace).map_or(0, |at| {
        let space = text[at..].chars().next().map_or(1, char::len_utf8);
        at + space
    });
    let (before, partial) = text.split_at(start);
    let Err(error) = parse(&format!("{before}{PROBE}")) else {
        return (start, Vec::new());
    };
    let is_word = |word: &str| word.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let expected = error.expected.split(", ");
    let firsts = expected.filter_map(|what| match what {
        "the end" => None,
        "order by" | "count by" => what.split(' ').next(),
        word => is_word(word).then_some(word),
    });
    let fitting = firsts.filter(|word| word.starts_with(partial));
    let mut words: Vec<_> = fitting.map(str::to_owned).collect();
    words.sort();
    words.dedup();
    (start, words)
}
