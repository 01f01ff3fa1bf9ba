//! Names chosen by operators: 1 to 64 characters of `[A-Za-z0-9._-]`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Error returned for a text that is not a valid name; holds that text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName(Arc<str>);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid name {:?}: expected 1 to {MAX_NAME_BYTES} characters of [A-Za-z0-9._-]",
            self.0
        )
    }
}

impl std::error::Error for InvalidName {}

fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
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
    /// Name of a customer of the platform, who has tokens and uses profiles.
    TeamName
}
name! {
    /// Name of a profile, which is a routing policy.
    ProfileName
}
name! {
    /// Name of a model, which has one or more versions.
    ModelName
}
name! {
    /// Name of one deployable version of a model.
    VersionName
}
name! {
    /// Name of a plain service, whose endpoints are not model engines.
    ServiceName
}
name! {
    /// Name of a failure domain (zone).
    DomainName
}
name! {
    /// Name of a region, which consists of failure domains.
    RegionName
}
name! {
    /// Name of a VM; one process of the system runs on each.
    VmName
}
name! {
    /// Name of a route that maps callers' requests to a service.
    RouteName
}
name! {
    /// Identifies one incarnation of an endpoint; the endpoint chooses it.
    EndpointId
}
