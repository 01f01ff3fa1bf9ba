//! Plain services, i.e. services other than model engines.

use std::sync::Arc;

use crate::ids;
use crate::units;

/// A plain service to which calls are routed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Teams that are allowed to call the service.
    pub teams: Vec<ids::TeamName>,
    /// HTTP methods whose calls may be retried; all others are executed at most once.
    /// Default: `GET`, `HEAD` and `OPTIONS`.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Arc<str>>,
    /// Treatment of idempotency keys that carry no time. Default: refuse.
    #[serde(default)]
    pub undated_keys: UndatedKeys,
    /// Time limit for a call when the caller states none. Default: 10 s.
    #[serde(default = "default_deadline")]
    pub deadline_ms: units::Millis,
}

impl Service {
    /// Whether a call with this method may be retried; ignores case.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods
            .iter()
            .any(|m| m.eq_ignore_ascii_case(method))
    }
}

/// Treatment of idempotency keys that are not `UUIDv7` and so carry no time.
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
    /// Refuse them: a late retry could not be distinguished from a new call.
    #[default]
    Refuse,
    /// Accept them: callers guarantee not to reuse a key after the window.
    Accept,
}

fn default_idempotent_methods() -> Vec<Arc<str>> {
    ["GET", "HEAD", "OPTIONS"].map(Arc::from).to_vec()
}

const fn default_deadline() -> units::Millis {
    units::Millis(10_000)
}
