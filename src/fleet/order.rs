//! Orders from the lease holder to engines.

use crate::ids;

/// Action that the lease holder orders an engine to take.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderAction {
    /// Load this model version.
    Load(ids::VersionName),
    /// Unload this model version.
    Unload(ids::VersionName),
}
