//! The operators' page must document every settings key.

const PAGE: &str = include_str!("../../../docs/operators/settings.md");
const SOURCES: [&str; 5] = [
    include_str!("../src/fleet.rs"),
    include_str!("../src/operator.rs"),
    include_str!("../src/team.rs"),
    include_str!("../src/tier.rs"),
    include_str!("../src/upstream.rs"),
];

/// Returns the keys that the decoders read: the first argument of each reading call on a section.
fn keys() -> Vec<&'static str> {
    let calls = SOURCES
        .iter()
        .flat_map(|source| source.split("section.").skip(1));
    let reading = calls.filter(|call| !call.starts_with("report"));
    let arguments = reading.filter_map(|call| call.split_once('(')?.1.strip_prefix('"'));
    arguments
        .filter_map(|rest| rest.split('"').next())
        .collect()
}

#[test]
fn every_key_is_documented_on_the_page() {
    let rows: Vec<_> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let keys = keys();
    assert!(keys.len() > 30, "{keys:?}");
    for key in keys {
        let named = |row: &&&str| {
            let cell = row
                .trim_start_matches("| `")
                .split('`')
                .next()
                .unwrap_or("");
            cell.split(['.', '[', ']']).any(|part| part == key)
        };
        assert!(
            rows.iter().find(named).is_some(),
            "{key} is not on the page"
        );
    }
}
