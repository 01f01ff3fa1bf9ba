//! API keys by which callers identify their team.

use std::fmt;
use std::sync::Arc;

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
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
