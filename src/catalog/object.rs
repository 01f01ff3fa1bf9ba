//! Configuration objects and their ids.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::catalog;
use crate::ids;

/// Kind of a configuration object; its text form is the path segment in the admin API.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// Routing policies, see [`catalog::Profile`].
    Profiles,
    /// Model versions, see [`catalog::Version`].
    Versions,
    /// Plain services, see [`catalog::Service`].
    Services,
    /// Customers, see [`catalog::Team`].
    Teams,
    /// Availability of failure domains.
    Domains,
    /// Availability of individual VMs.
    Vms,
    /// Rollout orders, see [`catalog::RolloutPlan`].
    Rollouts,
}

/// Kind and name of an object, written as e.g. `profiles/chat`.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "String")]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name within the kind, in the form of the names in [`ids`].
    pub name: Arc<str>,
}

impl ObjectId {
    /// Creates an id; does not check the form of the name.
    pub fn new(kind: ObjectKind, name: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Error of parsing an [`ObjectId`]: unknown kind, bad name, or no `/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKind;

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected <kind>/<name>, with a kind such as profiles or versions")
    }
}

impl std::error::Error for UnknownKind {}

impl FromStr for ObjectId {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let (kind, name) = text.split_once('/').ok_or(UnknownKind)?;
        let kind = kind.parse().map_err(|_| UnknownKind)?;
        let name: ids::ProfileName = name.parse().map_err(|_| UnknownKind)?;
        Ok(Self {
            kind,
            name: name.into(),
        })
    }
}

impl TryFrom<Arc<str>> for ObjectId {
    type Error = UnknownKind;

    fn try_from(text: Arc<str>) -> Result<Self, UnknownKind> {
        text.parse()
    }
}

impl From<ObjectId> for String {
    fn from(id: ObjectId) -> Self {
        id.to_string()
    }
}

/// Whether operators have taken a failure domain or a VM out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Availability {
    /// Out of service: receives no new work.
    pub out: bool,
}

/// Content of an object, by kind.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// Content of an object `profiles/<name>`.
    Profile(Arc<catalog::Profile>),
    /// Content of an object `versions/<name>`.
    Version(Arc<catalog::Version>),
    /// Content of an object `services/<name>`.
    Service(Arc<catalog::Service>),
    /// Content of an object `teams/<name>`.
    Team(Arc<catalog::Team>),
    /// Content of an object `domains/<name>`.
    Domain(Availability),
    /// Content of an object `vms/<name>`.
    Vm(Availability),
    /// Content of an object `rollouts/<name>`.
    Rollout(catalog::RolloutPlan),
}

impl Object {
    /// Returns the kind of object that has this content.
    #[must_use]
    pub const fn kind(&self) -> ObjectKind {
        match self {
            Self::Profile(_) => ObjectKind::Profiles,
            Self::Version(_) => ObjectKind::Versions,
            Self::Service(_) => ObjectKind::Services,
            Self::Team(_) => ObjectKind::Teams,
            Self::Domain(_) => ObjectKind::Domains,
            Self::Vm(_) => ObjectKind::Vms,
            Self::Rollout(_) => ObjectKind::Rollouts,
        }
    }
}
