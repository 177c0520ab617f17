//! Parsing and formatting of identifiers and counters.

use amaranth_wire::id::{JobId, LogOffset, MAX_ID_BYTES, ParseIdError, TierId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn invalid_identifiers_are_rejected() {
    let long = "a".repeat(MAX_ID_BYTES + 1);
    let cases = [
        ("", ParseIdError::Empty),
        (long.as_str(), ParseIdError::TooLong),
        ("a b", ParseIdError::BadCharacter(' ')),
        ("a/b", ParseIdError::BadCharacter('/')),
        ("região", ParseIdError::BadCharacter('ã')),
        ("a\n", ParseIdError::BadCharacter('\n')),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<TierId>(), Err(error), "{text:?}");
    }
}

#[test]
fn identifiers_in_json_are_validated() {
    assert!(serde_json::from_str::<JobId>("\"batch_1\"").is_ok());
    assert!(serde_json::from_str::<JobId>("\"a b\"").is_err());
    assert!(serde_json::from_str::<JobId>("7").is_err());
}

#[test]
fn counters_are_parsed_as_decimal_numbers() {
    assert_eq!("17".parse(), Ok(LogOffset(17)));
    assert_eq!(LogOffset(17).next(), LogOffset(18));
    for text in ["", "-1", "0x1", "1.5", "18446744073709551616"] {
        let parsed = text.parse::<LogOffset>();
        assert_eq!(parsed, Err(ParseIdError::NotANumber), "{text:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn identifiers_round_trip(text in "[A-Za-z0-9._:-]{1,128}") {
        let id: TierId = text.parse().expect("an identifier");
        prop_assert_eq!(id.to_string(), text.clone());
        let json = serde_json::to_string(&id).expect("ids encode");
        let back: TierId = serde_json::from_str(&json).expect("an identifier");
        prop_assert_eq!(back, id);
    }

    #[test]
    fn arbitrary_text_is_parsed_unchanged_or_rejected(text in any::<String>()) {
        if let Ok(id) = text.parse::<TierId>() {
            prop_assert_eq!(id.as_str(), text);
        }
    }
}
