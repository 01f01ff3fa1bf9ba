//! Configurable behaviour of a stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids;
use crate::units;

/// Behaviour of a stand-in engine, as given to `--options` and the control API.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Versions that are loaded at the start.
    pub versions: Vec<ids::VersionName>,
    /// Time to the first token without a cache hit.
    pub first_token_ms: units::Millis,
    /// Time to the first token if a prefix of the prompt is in the cache.
    pub cached_first_token_ms: units::Millis,
    /// Time between tokens with up to `batch` running requests.
    pub between_tokens_ms: units::Millis,
    /// Running requests up to which the time between tokens is constant; above
    /// it, the time grows in proportion.
    pub batch: u32,
    /// Maximum of running requests; others are queued in order of priority.
    pub slots: u32,
    /// Maximum of prompt prefixes in the cache.
    pub cache_entries: usize,
    /// Warm-up after a start; an engine with `None` is always warm.
    pub cold: Option<ColdStart>,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fence: bool,
    /// Time to load a version if `weights_addr` is `None`.
    pub load_ms: units::Millis,
    /// Address of the weight store from which versions are loaded.
    pub weights_addr: Option<SocketAddr>,
    /// Text that crashes the engine if a request's messages contain it.
    pub poison: Option<Arc<str>>,
    /// Maximum age of a reported status; 0 reports the current one.
    pub status_lag_ms: units::Millis,
}

/// Limits of a cold engine and the end of its warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Concurrent requests that a cold engine tolerates; one more crashes it.
    pub bears: u32,
    /// Complete answers after which the engine is warm.
    pub answers: u32,
    /// Time after which the engine is warm regardless of answers.
    pub warm_ms: units::Millis,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            versions: Vec::new(),
            first_token_ms: units::Millis(5),
            cached_first_token_ms: units::Millis(2),
            between_tokens_ms: units::Millis(1),
            batch: 16,
            slots: 64,
            cache_entries: 256,
            cold: None,
            checks_fence: true,
            load_ms: units::Millis(50),
            weights_addr: None,
            poison: None,
            status_lag_ms: units::Millis(0),
        }
    }
}
