//! Newtypes for identifiers and counters.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Reason why a string is not a valid identifier or counter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The string is empty.
    Empty,
    /// The string is longer than [`MAX_ID_BYTES`].
    TooLong,
    /// The string contains a character outside `[A-Za-z0-9._:-]`.
    BadCharacter(char),
    /// A counter is not a decimal number that fits into 64 bits.
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

fn validate_text(text: &str) -> Result<()> {
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
            /// Returns the identifier as a string slice.
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
                validate_text(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self> {
                validate_text(&text)?;
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
    /// Name of an instance, as in the platform's instance list.
    InstanceId
);
text_id!(
    /// Name of a data centre.
    DataCentreId
);
text_id!(
    /// Name of a serving tier.
    TierId
);
text_id!(
    /// Name of a team: the unit of fair sharing and quota among callers.
    TeamId
);
text_id!(
    /// Name of an upstream: one model engine or plain service.
    UpstreamId
);
text_id!(
    /// Name of a group of interchangeable upstreams, which serve the same model or service.
    UpstreamGroupId
);
text_id!(
    /// Name of a model.
    ModelId
);
text_id!(
    /// Name of a batch job. Every instance derives the same one from the same keyed submission.
    JobId
);
text_id!(
    /// Name of an item of a batch job.
    ItemId
);
text_id!(
    /// Name of a file with a batch job's input or results.
    FileId
);
text_id!(
    /// Name of an online request.
    RequestId
);
text_id!(
    /// Name of a part of a prompt. Requests that share a part name it alike.
    PromptPartId
);
text_id!(
    /// Idempotency key of an operator command: a command that is sent again takes effect once.
    CommandId
);

counter_id!(
    /// Position of an entry in the platform's log.
    LogOffset
);
counter_id!(
    /// Random number that identifies one run of a process; changes at every start.
    WriterId
);
counter_id!(
    /// Fencing number of a lease: the log offset of the claim that created it.
    LeaseEpoch
);
counter_id!(
    /// Configuration revision: the number of accepted configuration changes.
    ConfigRevision
);
counter_id!(
    /// Number of a shard. Each job belongs to one of a fixed number of shards, the unit of
    /// ownership.
    ShardId
);

impl LogOffset {
    /// Returns the offset that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
