//! Newtypes for identifiers and counters.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Longest accepted text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    TooLong,
    /// The text holds a character outside `[A-Za-z0-9._:-]`.
    BadCharacter(char),
    /// A counter is not a decimal number.
    NotANumber,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("an identifier may not be empty"),
            Self::TooLong => write!(f, "an identifier has at most {MAX_ID_BYTES} bytes"),
            Self::BadCharacter(c) => write!(f, "an identifier may not contain {c:?}"),
            Self::NotANumber => f.write_str("expected a decimal number"),
        }
    }
}

impl std::error::Error for ParseIdError {}

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, ParseIdError>;

fn check_text(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(ParseIdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self> {
                check_text(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self> {
                check_text(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| ParseIdError::NotANumber)
            }
        }
    };
}

text_id!(
    /// Names one instance of the system, as the platform's list does.
    InstanceId
);
text_id!(
    /// Names a data centre.
    DataCentreId
);
text_id!(
    /// Names a serving tier.
    TierId
);
text_id!(
    /// Names a team: the unit of fairness and quota among callers.
    TeamId
);
text_id!(
    /// Names an upstream: one model engine or plain service.
    UpstreamId
);
text_id!(
    /// Names a group of upstreams that are alike: one model or service.
    UpstreamGroupId
);
text_id!(
    /// Names a model.
    ModelId
);
text_id!(
    /// Names a batch job. The same for every instance that receives the same keyed submission.
    JobId
);
text_id!(
    /// Names an item of a batch job.
    ItemId
);
text_id!(
    /// Names a file: the input that a batch job was made from, or its results.
    FileId
);
text_id!(
    /// Names one online request.
    RequestId
);
text_id!(
    /// Names one operator command; the same id sent twice acts once.
    CommandId
);

counter_id!(
    /// Position of an entry in the platform's log.
    LogOffset
);
counter_id!(
    /// Random identity of one run of one process; changes at every start.
    WriterId
);
counter_id!(
    /// Fencing number of a lease: the log offset of the claim that opened it.
    LeaseEpoch
);
counter_id!(
    /// Number of accepted configuration changes.
    ConfigRevision
);
counter_id!(
    /// One of the fixed number of groups that jobs fall into; the unit of ownership.
    ShardId
);

impl LogOffset {
    /// The offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
