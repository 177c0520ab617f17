//! Parsing and formatting of quantities.

use amaranth_wire::unit::{ByteSize, EventRate, ParseUnitError, Percentage, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn quantities_are_parsed_and_formatted() {
    let spans = [
        ("0us", 0, "0us"),
        ("250ms", 250_000, "250ms"),
        ("1000ms", 1_000_000, "1s"),
        ("90s", 90_000_000, "90s"),
        ("60min", 3_600_000_000, "1h"),
        (" 5 s ", 5_000_000, "5s"),
    ];
    for (text, micros, shown) in spans {
        let span: TimeSpan = text.parse().expect(text);
        assert_eq!(
            (span.as_micros(), span.to_string().as_str()),
            (micros, shown)
        );
    }
    let sizes = [
        ("0B", 0, "0B"),
        ("1024B", 1_024, "1KiB"),
        ("64MiB", 64 << 20, "64MiB"),
    ];
    for (text, bytes, shown) in sizes {
        let size: ByteSize = text.parse().expect(text);
        assert_eq!((size.as_bytes(), size.to_string().as_str()), (bytes, shown));
    }
    let rate: EventRate = "40/s".parse().expect("a rate");
    assert_eq!(
        (rate.as_per_second(), rate.to_string().as_str()),
        (40, "40/s")
    );
    let shares = [
        ("95%", 0.95, "95%"),
        ("99.95%", 0.9995, "99.95%"),
        ("0%", 0.0, "0%"),
    ];
    for (text, fraction, shown) in shares {
        let share: Percentage = text.parse().expect(text);
        assert_eq!(
            (share.fraction(), share.to_string().as_str()),
            (fraction, shown)
        );
    }
}

#[test]
fn invalid_quantities_are_rejected() {
    let unknown = |given: &str, expected| ParseUnitError::UnknownUnit {
        given: given.to_owned(),
        expected,
    };
    let times = "us, ms, s, min, h";
    let cases = [
        ("", ParseUnitError::NoNumber),
        ("ms", ParseUnitError::NoNumber),
        ("-5ms", ParseUnitError::NoNumber),
        ("5", unknown("", times)),
        ("5 parsecs", unknown("parsecs", times)),
        ("1.5s", unknown(".5s", times)),
        ("5MS", unknown("MS", times)),
        ("99999999999999999999s", ParseUnitError::TooLarge),
        ("18446744073709551615h", ParseUnitError::TooLarge),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<TimeSpan>(), Err(error), "{text:?}");
    }
    assert!("64MB".parse::<ByteSize>().is_err());
    assert!("40/min".parse::<EventRate>().is_err());
    for text in [
        "",
        "95",
        "100.1%",
        "-1%",
        "1e1%",
        "nan%",
        "99.99999%",
        ".5%",
        "5.%",
    ] {
        assert!(text.parse::<Percentage>().is_err(), "{text:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn quantities_round_trip(value in any::<u64>()) {
        let span: TimeSpan = format!("{value}us").parse().expect("a span");
        prop_assert_eq!(span.to_string().parse(), Ok(span));
        let size = ByteSize::from_bytes(value);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
        let rate = EventRate::per_second(value);
        prop_assert_eq!(rate.to_string().parse(), Ok(rate));
    }

    #[test]
    fn percentages_round_trip(parts in 0..=1_000_000_u32) {
        let share = Percentage::from_millionths(parts);
        prop_assert_eq!(share.to_string().parse(), Ok(share));
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "[0-9]{0,22}[ a-zA-Z/%.]{0,4}") {
        let _ = text.parse::<TimeSpan>();
        let _ = text.parse::<ByteSize>();
        let _ = text.parse::<EventRate>();
        let _ = text.parse::<Percentage>();
    }
}
