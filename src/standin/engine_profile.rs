//! How a stand-in engine behaves.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids;
use crate::units;

/// How a stand-in engine behaves.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Versions loaded at the start.
    pub versions: Vec<ids::VersionName>,
    /// Time to the first token.
    pub first_token_ms: units::Millis,
    /// Time to the first token where the cache holds the beginning of the prompt.
    pub cached_first_token_ms: units::Millis,
    /// Time between tokens for up to `batch` running requests.
    pub between_tokens_ms: units::Millis,
    /// Requests that run without slowing each other; above it the time
    /// between tokens grows in proportion.
    pub batch: u32,
    /// Requests that run at a time; others wait in order of priority.
    pub slots: u32,
    /// Prompt beginnings that the cache holds.
    pub cache_entries: usize,
    /// Behaviour while cold; an engine without it is always warm.
    pub cold: Option<ColdStart>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time to load a version where there is no weight store.
    pub load_ms: units::Millis,
    /// The weight store that loads go through.
    pub weights_addr: Option<SocketAddr>,
    /// Text in the messages that crashes the engine.
    pub poison: Option<Arc<str>>,
    /// Greatest age of a reported status.
    pub status_lag_ms: units::Millis,
}

/// Behaviour of a cold engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Concurrent requests above which a cold engine fails.
    pub bears: u32,
    /// Answers after which the engine is warm.
    pub answers: u32,
    /// Time after which the engine is warm.
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
