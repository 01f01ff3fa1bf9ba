//! API keys by which callers identify their team.

use std::fmt;
use std::sync::Arc;

use crate::ids;

/// A secret that identifies a team. Its `Debug` output hides it, so that it never
/// reaches a log line.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from its text in a request or in the configuration.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the first bits of a digest, by which log lines name the key without telling it.
    #[must_use]
    pub fn label(&self) -> KeyLabel {
        KeyLabel(ids::Digest::of(self.0.as_bytes()).first_u128() >> 96)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Name of a key in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLabel(u128);

impl fmt::Display for KeyLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
