//! 128-bit identifiers, written as 32 hexadecimal digits.

use std::fmt;
use std::str::FromStr;

use crate::units;

/// A text that is not 32 hexadecimal digits.
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
    /// A caller's request; also the identity of its usage record.
    RequestId
}
id! {
    /// A configuration change, made by its author before the first append.
    ChangeId
}
id! {
    /// A non-idempotent call: digest of team, service and idempotency key.
    CallId
}

impl RequestId {
    /// A new id; time-ordered, so that log lines and records sort by arrival.
    #[must_use]
    pub fn generate() -> Self {
        Self(uuid::Uuid::now_v7().as_u128())
    }

    /// When the request arrived, since the epoch; `None` where the id is no `UUIDv7`.
    #[must_use]
    pub fn made_at(self) -> Option<units::Millis> {
        let id = uuid::Uuid::from_u128(self.0);
        let is_timed = id.get_version() == Some(uuid::Version::SortRand);
        // The first 48 bits of a UUIDv7 are its time in milliseconds.
        is_timed.then(|| units::Millis(u64::try_from(self.0 >> 80).unwrap_or_default()))
    }
}

impl ChangeId {
    /// A new id.
    #[must_use]
    pub fn generate() -> Self {
        Self(uuid::Uuid::now_v7().as_u128())
    }
}
