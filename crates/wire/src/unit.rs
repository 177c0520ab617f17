//! Newtypes for time spans, sizes, rates and percentages, written with their unit: `250ms`,
//! `64MiB`, `40/s`, `99.9%`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reason why a string is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseUnitError {
    /// The string does not start with a number.
    NoNumber,
    /// The unit is missing or unknown.
    UnknownUnit {
        /// The text after the number.
        given: String,
        /// The accepted units.
        expected: &'static str,
    },
    /// The quantity exceeds the range of its type.
    TooLarge,
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoNumber => f.write_str("expected a whole number followed by a unit"),
            Self::UnknownUnit { given, expected } => {
                write!(f, "unknown unit {given:?}, expected one of {expected}")
            }
            Self::TooLarge => f.write_str("the quantity is too large"),
        }
    }
}

impl std::error::Error for ParseUnitError {}

/// Result of parsing a quantity.
pub type Result<T> = std::result::Result<T, ParseUnitError>;

/// Splits a quantity into its number and its unit.
fn split_number(text: &str) -> Result<(u64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let number = &text[..end];
    if number.is_empty() {
        return Err(ParseUnitError::NoNumber);
    }
    let number = number.parse().map_err(|_| ParseUnitError::TooLarge)?;
    Ok((number, text[end..].trim()))
}

/// Parses a quantity and converts it to the base unit.
fn parse_scaled(units: &[(&str, u64)], expected: &'static str, text: &str) -> Result<u64> {
    let (number, unit) = split_number(text)?;
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        let given = unit.to_owned();
        return Err(ParseUnitError::UnknownUnit { given, expected });
    };
    number.checked_mul(*factor).ok_or(ParseUnitError::TooLarge)
}

const TIME_UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("min", 60_000_000),
    ("h", 3_600_000_000),
];
const SIZE_UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// A time span with microsecond resolution, such as `250ms`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Converts the span to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        display_scaled(self.0, &TIME_UNITS, f)
    }
}

impl FromStr for TimeSpan {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self> {
        parse_scaled(&TIME_UNITS, "us, ms, s, min, h", text).map(Self)
    }
}

/// A number of bytes, such as `64MiB`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size from a number of bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        display_scaled(self.0, &SIZE_UNITS, f)
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self> {
        parse_scaled(&SIZE_UNITS, "B, KiB, MiB, GiB", text).map(Self)
    }
}

/// Events per second, such as `40/s`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct EventRate(u64);

impl EventRate {
    /// Creates a rate from events per second.
    pub const fn per_second(events: u64) -> Self {
        Self(events)
    }

    /// Returns the rate in events per second.
    pub const fn as_per_second(self) -> u64 {
        self.0
    }
}

impl fmt::Display for EventRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for EventRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self> {
        parse_scaled(&[("/s", 1)], "/s", text).map(Self)
    }
}

/// Millionths in 100%.
const MILLIONTHS_PER_WHOLE: u32 = 1_000_000;
/// Millionths in 1%.
const MILLIONTHS_PER_PERCENT: u32 = 10_000;
/// Maximum number of decimal places of a percentage.
const PERCENT_PLACES: usize = 4;

/// A share between 0% and 100%, such as `99.9%`, stored in millionths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Percentage(u32);

impl Percentage {
    /// Creates a share from millionths; values above 100% are clamped to 100%.
    pub const fn from_millionths(parts: u32) -> Self {
        match parts > MILLIONTHS_PER_WHOLE {
            true => Self(MILLIONTHS_PER_WHOLE),
            false => Self(parts),
        }
    }

    /// Returns the share as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(MILLIONTHS_PER_WHOLE)
    }
}

impl fmt::Display for Percentage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (
            self.0 / MILLIONTHS_PER_PERCENT,
            self.0 % MILLIONTHS_PER_PERCENT,
        );
        if rest == 0 {
            return write!(f, "{whole}%");
        }
        let places = format!("{rest:0PERCENT_PLACES$}");
        write!(f, "{whole}.{}%", places.trim_end_matches('0'))
    }
}

impl FromStr for Percentage {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self> {
        let (whole, unit) = split_number(text)?;
        let unknown = || ParseUnitError::UnknownUnit {
            given: unit.to_owned(),
            expected: "% with at most 4 decimal places",
        };
        let places = unit.strip_suffix('%').ok_or_else(unknown)?;
        let parts = match places.strip_prefix('.') {
            None if places.is_empty() => 0,
            Some(digits) => parse_decimal_places(digits).ok_or_else(unknown)?,
            None => return Err(unknown()),
        };
        let whole = u32::try_from(whole).map_err(|_| ParseUnitError::TooLarge)?;
        let scaled = whole.checked_mul(MILLIONTHS_PER_PERCENT);
        match scaled.and_then(|scaled| scaled.checked_add(parts)) {
            Some(parts) if parts <= MILLIONTHS_PER_WHOLE => Ok(Self(parts)),
            _ => Err(ParseUnitError::TooLarge),
        }
    }
}

/// Converts the decimal places of a percentage to millionths; `None` if they are invalid.
fn parse_decimal_places(digits: &str) -> Option<u32> {
    let fits = (1..=PERCENT_PLACES).contains(&digits.len());
    if !fits || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    format!("{digits:0<PERCENT_PLACES$}").parse().ok()
}

macro_rules! text_conversions {
    ($($name:ident),*) => {$(
        impl TryFrom<String> for $name {
            type Error = ParseUnitError;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(quantity: $name) -> String {
                quantity.to_string()
            }
        }
    )*};
}

text_conversions!(TimeSpan, ByteSize, EventRate, Percentage);

/// Writes the quantity in the largest unit that divides it without remainder.
fn display_scaled(value: u64, units: &[(&str, u64)], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let exact = units
        .iter()
        .rev()
        .find(|(_, factor)| value != 0 && value.is_multiple_of(*factor));
    let (name, factor) = exact.unwrap_or(&units[0]);
    write!(f, "{}{name}", value / factor)
}
