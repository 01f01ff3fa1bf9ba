//! Processes of the system.

use crate::ids;

/// A run of a process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
    /// The run of the process.
    pub incarnation: ids::Incarnation,
    /// Its role.
    pub role: NodeRole,
}

/// Role of a process.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    Entry,
    /// Stands beside an endpoint.
    Sidecar,
}
