//! The reader must not panic on any text, and must not return settings for invalid text.

use amaranth_settings::fleet::FleetSettings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VALID: &str = r#"{"fleet": "f", "data_centres": ["a"], "platform": {"address": "127.0.0.1:1"},
"instances": [{"name": "e", "data_centre": "a"}], "upstreams": [{"name": "l", "kind": "engine",
"model": "m", "count": 2, "data_centres": ["a"]}], "tiers": [{"name": "t", "upstreams": "l"}]}"#;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_files_parse_or_are_rejected(at in 0..VALID.len(), len in 0..20_usize, put in ".{0,3}") {
        let end = (at + len).min(VALID.len());
        let damaged = format!("{}{put}{}", &VALID[..at], &VALID[end..]);
        if let Err(errors) = FleetSettings::parse("f", &damaged) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|e| e.line > 0 && e.column > 0));
        }
    }

    #[test]
    fn arbitrary_text_is_rejected(text in any::<String>()) {
        prop_assert!(FleetSettings::parse("f", &text).is_err());
    }
}
