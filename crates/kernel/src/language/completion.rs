//! Completion of keywords, taken from the parser's own error message, so that both always agree.

use super::parser::parse;

/// A character that is invalid outside quotes; parsing it yields the words expected in its place.
const PROBE: char = '\u{1}';

/// Candidates for the last word of a text, and the byte offset at which that word starts.
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
    let candidates = expected.filter_map(|what| match what {
        "the end" => None,
        "order by" | "count by" => what.split(' ').next(),
        word => is_word(word).then_some(word),
    });
    let matching = candidates.filter(|word| word.starts_with(partial));
    let mut words: Vec<_> = matching.map(str::to_owned).collect();
    words.sort();
    words.dedup();
    (start, words)
}
