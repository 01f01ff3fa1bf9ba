//! Orders to engines.

use crate::ids;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load(ids::VersionName),
    /// Unload a version.
    Unload(ids::VersionName),
}
