//! 128-bit identifiers; their text form is 32 hexadecimal digits.

use std::fmt;
use std::str::FromStr;

use crate::units;

/// Error returned when a text is not a valid hexadecimal id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidId;

impl fmt::Display for InvalidId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid id: expected 32 hexadecimal digits")
    }
}

impl std::error::Error for InvalidId {}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "std::sync::Arc<str>", into = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(InvalidId);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| InvalidId)
            }
        }

        impl TryFrom<std::sync::Arc<str>> for $name {
            type Error = InvalidId;

            fn try_from(text: std::sync::Arc<str>) -> Result<Self, InvalidId> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

id! {
    /// Identifies a caller's request and its usage record.
    RequestId
}
id! {
    /// Identifies a configuration change. The author generates it before the first
    /// append, so that a retried append is recognised.
    ChangeId
}
id! {
    /// Identifies a non-idempotent call: a digest of team, service and idempotency key.
    CallId
}

impl RequestId {
    /// Generates a time-ordered id (`UUIDv7`), so that log lines and records sort by arrival.
    #[must_use]
    pub fn generate() -> Self {
        Self(uuid::Uuid::now_v7().as_u128())
    }

    /// Returns the arrival time in milliseconds since the Unix epoch; `None` if
    /// the id is not a `UUIDv7`.
    #[must_use]
    pub fn arrived_at(self) -> Option<units::Millis> {
        let id = uuid::Uuid::from_u128(self.0);
        let is_uuid_v7 = id.get_version() == Some(uuid::Version::SortRand);
        // The first 48 bits of a UUIDv7 are its timestamp in milliseconds.
        is_uuid_v7.then(|| units::Millis(u64::try_from(self.0 >> 80).unwrap_or_default()))
    }
}

impl ChangeId {
    /// Generates a time-ordered id (`UUIDv7`).
    #[must_use]
    pub fn generate() -> Self {
        Self(uuid::Uuid::now_v7().as_u128())
    }
}
