//! The settings that commands on the log may change, with their types and bounds.

use std::fmt;

use serde_json::Value;

/// Type and bounds of a setting's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingKind {
    /// A whole number within inclusive bounds.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// A boolean.
    Flag,
}

/// Definition of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingSpec {
    /// First part of the full name: `tier`, `team` or `plan`.
    pub scope: &'static str,
    /// Last part of the full name.
    pub name: &'static str,
    /// A shorter form of `name` that operators may use.
    pub alias: Option<&'static str>,
    /// Type and bounds of the value.
    pub kind: SettingKind,
    /// One-line description.
    pub about: &'static str,
}

const fn number_setting(
    scope: &'static str,
    name: &'static str,
    (min, max): (u64, u64),
    about: &'static str,
) -> SettingSpec {
    SettingSpec {
        scope,
        name,
        alias: None,
        kind: SettingKind::Number { min, max },
        about,
    }
}

const QUEUE_LIMIT: SettingSpec = SettingSpec {
    alias: Some("limit"),
    ..number_setting(
        "tier",
        "queue_limit",
        (0, 100_000),
        "requests that may wait on one instance",
    )
};
const BATCH_PAUSED: SettingSpec = SettingSpec {
    scope: "tier",
    name: "batch_paused",
    alias: None,
    kind: SettingKind::Flag,
    about: "whether batch items of the tier wait",
};

/// Every setting that the log may change.
pub const SETTING_TABLE: [SettingSpec; 8] = [
    QUEUE_LIMIT,
    number_setting(
        "tier",
        "kept_s",
        (1, 2_592_000),
        "seconds that results of keyed requests are kept",
    ),
    BATCH_PAUSED,
    number_setting(
        "team",
        "queue_share",
        (1, 1_000),
        "weight of the team in the fair queue",
    ),
    number_setting(
        "plan",
        "load_width",
        (1, 1_000),
        "engines that load weights at once",
    ),
    number_setting(
        "plan",
        "keep_percent",
        (0, 100),
        "share of a tier's engines that a rollout leaves in service",
    ),
    number_setting(
        "plan",
        "soak_ms",
        (0, 3_600_000),
        "milliseconds that changed engines are judged before the next ones are changed",
    ),
    number_setting(
        "plan",
        "error_percent",
        (1, 100),
        "share of failed requests at which a rollout halts",
    ),
];

/// Why a setting's name or value is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingError {
    /// The name matches no row of [`SETTING_TABLE`].
    UnknownName(String),
    /// The value does not parse as JSON; holds the parser's message.
    NotJson(String),
    /// The value has the wrong type or is out of bounds.
    BadValue {
        /// Full name of the setting.
        name: String,
        /// The expected type and bounds.
        kind: SettingKind,
    },
}

/// Result of looking up or parsing a setting.
pub type Result<T> = std::result::Result<T, SettingError>;

impl fmt::Display for SettingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Flag => f.write_str("true or false"),
        }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownName(name) => {
                let known: Vec<_> = SETTING_TABLE.iter().map(|spec| spec.pattern()).collect();
                write!(f, "unknown setting {name:?}, expected {}", known.join(", "))
            }
            Self::NotJson(e) => write!(f, "the value is not JSON: {e}"),
            Self::BadValue { name, kind } => write!(f, "{name} must be {kind}"),
        }
    }
}

impl std::error::Error for SettingError {}

impl SettingSpec {
    /// The full name, with `NAME` in place of the tier or team.
    pub fn pattern(&self) -> String {
        match self.scope {
            "plan" => format!("plan.{}", self.name),
            scope => format!("{scope}.NAME.{}", self.name),
        }
    }

    fn matches_name(&self, scope: &str, name: &str) -> bool {
        self.scope == scope && (self.name == name || self.alias == Some(name))
    }
}

/// Resolves aliases in a full name and finds the setting's definition.
pub fn find_setting(name: &str) -> Result<(String, &'static SettingSpec)> {
    let unknown = || SettingError::UnknownName(name.to_owned());
    let (scope, owner, setting) = split_name(name).ok_or_else(unknown)?;
    let found = SETTING_TABLE
        .iter()
        .find(|s| s.matches_name(scope, setting));
    let spec = found.ok_or_else(unknown)?;
    let full = match owner {
        Some(owner) => format!("{scope}.{owner}.{}", spec.name),
        None => format!("{scope}.{}", spec.name),
    };
    Ok((full, spec))
}

/// Parses a setting's JSON value and checks it against the table; returns the full name and the
/// value.
pub fn parse_setting(name: &str, value: &str) -> Result<(String, Value)> {
    let (name, spec) = find_setting(name)?;
    let value: Value =
        serde_json::from_str(value).map_err(|e| SettingError::NotJson(e.to_string()))?;
    let is_valid = match spec.kind {
        SettingKind::Number { min, max } => {
            value.as_u64().is_some_and(|n| (min..=max).contains(&n))
        }
        SettingKind::Flag => value.is_boolean(),
    };
    match is_valid {
        true => Ok((name, value)),
        false => Err(SettingError::BadValue {
            name,
            kind: spec.kind,
        }),
    }
}

/// Splits `plan.SETTING` or `SCOPE.OWNER.SETTING`; the owner may contain dots.
fn split_name(name: &str) -> Option<(&str, Option<&str>, &str)> {
    let (scope, rest) = name.split_once('.')?;
    if scope == "plan" {
        return Some((scope, None, rest));
    }
    let (owner, setting) = rest.rsplit_once('.')?;
    (!owner.is_empty()).then_some((scope, Some(owner), setting))
}
