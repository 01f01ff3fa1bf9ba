//! Plain services beside the model engines.

use std::sync::Arc;

use crate::ids;
use crate::units;

/// A plain service to which the system routes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Teams that may call the service.
    pub teams: Vec<ids::TeamName>,
    /// HTTP methods whose calls may be repeated. All others run at most once.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Arc<str>>,
    /// What is done with an idempotency key that does not carry its time.
    #[serde(default)]
    pub undated_keys: UndatedKeys,
    /// Time for a call where the caller states none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: units::Millis,
}

impl Service {
    /// Whether a call with this method may be repeated.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods
            .iter()
            .any(|m| m.eq_ignore_ascii_case(method))
    }
}

/// Treatment of idempotency keys that are not `UUIDv7`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UndatedKeys {
    /// Refuse them: a late repeat could not be told from a new call.
    #[default]
    Refuse,
    /// Accept them: callers promise not to reuse a key after the window.
    Accept,
}

fn default_idempotent_methods() -> Vec<Arc<str>> {
    ["GET", "HEAD", "OPTIONS"].map(Arc::from).to_vec()
}

const fn default_deadline() -> units::Millis {
    units::Millis(10_000)
}
