//! Identity and role of a process.

use crate::ids;

/// Identifies one incarnation of a process, with its location and role.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// VM on which the process runs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of the failure domain.
    pub region: ids::RegionName,
    /// Incarnation of the process; greater after a restart.
    pub incarnation: ids::Incarnation,
    /// Role that the settings assign to the process.
    pub role: NodeRole,
}

/// Role of a process in the system.
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
    /// Gateway that accepts requests of callers.
    Entry,
    /// Process beside an endpoint, which admits work to it.
    Sidecar,
}
