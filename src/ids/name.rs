//! Names given by operators: 1 to 64 characters of `[A-Za-z0-9._-]`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Longest accepted name, in bytes.
const MAX_NAME_LEN: usize = 64;

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName(Arc<str>);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid name {:?}: expected 1 to {MAX_NAME_LEN} characters of [A-Za-z0-9._-]",
            self.0
        )
    }
}

impl std::error::Error for InvalidName {}

fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::try_from(Arc::from(text))
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = InvalidName;

            fn try_from(text: Arc<str>) -> Result<Self, InvalidName> {
                if is_valid(&text) { Ok(Self(text)) } else { Err(InvalidName(text)) }
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name! {
    /// A customer of the platform; holds tokens and uses profiles.
    TeamName
}
name! {
    /// A named routing policy.
    ProfileName
}
name! {
    /// A model, which has one or more versions.
    ModelName
}
name! {
    /// One deployable version of a model.
    VersionName
}
name! {
    /// A plain service that stands beside the model engines.
    ServiceName
}
name! {
    /// A failure domain (zone).
    DomainName
}
name! {
    /// A region, which holds failure domains.
    RegionName
}
name! {
    /// A VM; one process of the system runs on each.
    VmName
}
name! {
    /// A route of callers' requests to a service.
    RouteName
}
name! {
    /// One run of an endpoint, as the endpoint names itself.
    EndpointId
}
