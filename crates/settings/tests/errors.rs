//! Errors in settings files and their line and column.

use amaranth_settings::fleet::FleetSettings;

/// A valid file; each test case replaces one line of it.
const VALID: &str = r#"{
  // Comments are allowed.
  "fleet": "sul",
  "data_centres": ["dc-a", "dc-b"],
  "platform": {"address": "127.0.0.1:7000"},
  "instances": [
    {"name": "entry-1", "data_centre": "dc-a", "listen": "127.0.0.1:8001"},
    {"name": "entry-2", "data_centre": "dc-b"},
  ],
  "upstreams": [
    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": ["dc-a"]},
    {"name": "desk", "kind": "service", "count": 1, "data_centres": ["dc-b"]},
  ],
  "tiers": [
    {"name": "shading", "upstreams": "llm", "batch": true},
    {"name": "booking", "upstreams": "desk", "repeatable": false},
  ],
  "teams": [
    {"name": "crew", "key_sha256": "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f"},
  ],
}
"#;

/// Returns the errors of a file as text, without the file name.
fn errors(text: &str) -> Vec<String> {
    let errors = FleetSettings::parse("f", text).err().unwrap_or_default();
    let lines = errors.iter().map(|e| e.to_string());
    lines.map(|line| line.replacen("f:", "", 1)).collect()
}

/// Returns the valid file with one line replaced; lines are numbered from 1.
fn with_line(number: usize, line: &str) -> String {
    let mut lines: Vec<&str> = VALID.lines().collect();
    lines[number - 1] = line;
    lines.join("\n")
}

#[test]
fn valid_file_is_parsed() {
    let settings = FleetSettings::parse("f", VALID).expect("valid settings");
    assert_eq!(settings.instances.len(), 2);
    assert_eq!(
        settings.upstreams[0].upstreams()[1].upstream.as_str(),
        "llm-2"
    );
    let tier = &settings.tiers[0];
    assert_eq!(tier.target.to_string(), "95%");
    assert_eq!(tier.first_token.to_string(), "520ms");
}

#[test]
fn each_error_is_reported_at_its_position() {
    let cases: &[(usize, &str, &[&str])] = &[
        (
            3,
            r#"  "fleet": 7,"#,
            &[r#"3:12: "fleet" must be a string"#],
        ),
        (3, "", &[r#"1:1: missing key "fleet""#]),
        (
            3,
            r#"  "fleet": "sul", "flet": 1,"#,
            &[r#"3:19: unknown key "flet""#],
        ),
        (
            3,
            r#"  "fleet": "sul", "fleet": "sul","#,
            &[r#"3:19: duplicate key "fleet""#],
        ),
        (
            4,
            r#"  "data_centres": "dc-a","#,
            &[r#"4:19: "data_centres" must be a list"#],
        ),
        (
            4,
            r#"  "data_centres": ["dc-a", "dc-b", "dc-a"],"#,
            &[r#"4:19: duplicate entry dc-a in "data_centres""#],
        ),
        (
            4,
            r#"  "data_centres": ["dc-a", "dc b", "dc-b"],"#,
            &[r#"4:28: "data_centres": an identifier may not contain ' '"#],
        ),
        (
            5,
            r#"  "platform": {"address": "here"},"#,
            &[r#"5:27: "address": invalid socket address syntax"#],
        ),
        (
            5,
            r#"  "platform": {"address": "127.0.0.1:1", "retention": "5 parsecs"},"#,
            &[r#"5:55: "retention": unknown unit "parsecs", expected one of us, ms, s, min, h"#],
        ),
        (
            5,
            r#"  "platform": {"address": "127.0.0.1:1", "append_rate": "300/min"},"#,
            &[r#"5:57: "append_rate": unknown unit "/min", expected one of /s"#],
        ),
        (
            5,
            r#"  "platform": {"address": "127.0.0.1:1", "append_rate": "0/s"},"#,
            &[r#"5:57: "append_rate" must be above 0"#],
        ),
        (
            7,
            r#"    {"name": "entry-1", "data_centre": "dc-z"},"#,
            &["6:16: instance entry-1 is in the unknown data centre dc-z"],
        ),
        (
            8,
            r#"    {"name": "entry-1", "data_centre": "dc-b"},"#,
            &[r#"6:16: duplicate entry entry-1 in "instances""#],
        ),
        (
            8,
            r#"    {"name": "entry-2", "data_centre": "dc-b", "listen": "127.0.0.1:8001"},"#,
            &["6:16: instances entry-1 and entry-2 both listen on 127.0.0.1:8001"],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "robot", "model": "m", "count": 2, "data_centres": ["dc-a"]},"#,
            &[r#"11:29: "kind": expected "engine" or "service""#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "count": 2, "data_centres": ["dc-a"]},"#,
            &[r#"11:5: an engine group needs a "model""#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 0, "data_centres": ["dc-a"]},"#,
            &[r#"11:62: "count" must be at least 1"#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": -1, "data_centres": ["dc-a"]},"#,
            &[r#"11:62: "count" must be a number in range"#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": ["dc-a"], "addresses": ["127.0.0.1:1"]},"#,
            &[r#"11:104: "addresses" has 1 entries, "count" is 2"#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": ["dc-a"], "addresses": ["127.0.0.1:1", "127.0.0.1:1"]},"#,
            &["10:16: upstreams llm-1 and llm-2 both have the address 127.0.0.1:1"],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": ["dc-a"], "speeds": [1, 0]},"#,
            &[r#"11:101: "speeds" must be above 0"#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": []},"#,
            &[r#"11:81: "data_centres" needs at least one entry"#],
        ),
        (
            11,
            r#"    {"name": "llm", "kind": "engine", "model": "m", "count": 2, "data_centres": ["dc-z"]},"#,
            &["10:16: group llm is in the unknown data centre dc-z"],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "llm", "batch": "yes"},"#,
            &[r#"15:54: "batch" must be true or false"#],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "lmm"},"#,
            &[r#"14:12: tier shading refers to the unknown upstream group "lmm""#],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "llm", "deadline": "0ms"},"#,
            &[r#"15:57: "deadline" must be above 0"#],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "llm", "deadline": "500ms", "first_token": "1s"},"#,
            &[r#"15:81: "first_token" must not be longer than "deadline""#],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "llm", "target": "95"},"#,
            &[
                r#"15:55: "target": unknown unit "", expected one of % with at most 4 decimal places"#,
            ],
        ),
        (
            15,
            r#"    {"name": "shading", "upstreams": "llm", "target": "100%"},"#,
            &[r#"15:55: "target" must be above 0% and below 100%"#],
        ),
        (
            16,
            r#"    {"name": "booking", "upstreams": "desk", "batch": true},"#,
            &["14:12: tier booking takes batches but its upstreams are a service"],
        ),
        (
            19,
            r#"    {"name": "crew", "key_sha256": "secret"},"#,
            &[r#"19:36: "key_sha256": expected 64 hexadecimal digits"#],
        ),
        (
            20,
            r#"  ], "bodies": {"item": "2MiB", "batch": "1MiB"},"#,
            &[r#"20:25: "item" must not be larger than "batch""#],
        ),
        (
            20,
            r#"  ], "bodies": {"online": "0B"},"#,
            &[r#"20:27: "online" must be above 0"#],
        ),
        (
            20,
            r#"  ], "bodies": 7,"#,
            &[r#"20:16: "bodies" must be an object"#],
        ),
    ];
    for (number, line, expected) in cases {
        let found = errors(&with_line(*number, line));
        assert_eq!(&found, expected, "line {number}: {line}");
    }
}

#[test]
fn two_teams_with_the_same_key_are_rejected() {
    let digest = "0F".repeat(32);
    let team = format!(r#"{{"name": "crew", "key_sha256": "{digest}"}}"#);
    let other = team.replace("crew", "desk");
    let found = errors(&with_line(19, &format!("{team}, {other}")));
    assert_eq!(found, ["18:12: teams crew and desk have the same key"]);
}

#[test]
fn empty_required_lists_are_rejected() {
    let text = r#"{"fleet": "f", "platform": {"address": "127.0.0.1:1"}, "upstreams": []}"#;
    assert_eq!(
        errors(text),
        [
            r#"1:1: "data_centres" needs at least one entry"#,
            r#"1:1: "instances" needs at least one entry"#,
            r#"1:1: "tiers" needs at least one entry"#,
        ]
    );
}

#[test]
fn all_errors_are_reported_in_order_of_position() {
    let text = with_line(3, r#"  "fleet": 7, "typo": true,"#)
        .replace(r#""count": 2"#, r#""count": "two""#)
        .replace(r#""batch": true"#, r#""batch": 1, "deadline": "3 days""#);
    assert_eq!(
        errors(&text),
        [
            r#"3:12: "fleet" must be a string"#,
            r#"3:15: unknown key "typo""#,
            r#"11:62: "count" must be a number in range"#,
            r#"15:54: "batch" must be true or false"#,
            r#"15:69: "deadline": unknown unit "days", expected one of us, ms, s, min, h"#,
        ]
    );
}

#[test]
fn columns_count_characters() {
    let text = with_line(3, r#"  "fleet": "região", "ç": 1,"#);
    assert_eq!(errors(&text), [r#"3:22: unknown key "ç""#]);
}

#[test]
fn text_that_is_not_a_json_object_is_rejected() {
    for text in [
        "",
        "[]",
        "{",
        "{\"fleet\": }",
        "{'fleet': 1}",
        "{\"a\": 0x10}",
        "\u{0}",
    ] {
        assert!(!errors(text).is_empty(), "{text:?}");
    }
}

#[test]
fn missing_file_is_reported_as_one_error() {
    let missing = std::path::Path::new("/nonexistent/fleet.jsonc");
    let errors = FleetSettings::load(missing).expect_err("no such file");
    assert_eq!(errors.len(), 1);
    assert!(
        errors[0]
            .to_string()
            .starts_with("/nonexistent/fleet.jsonc: ")
    );
}
