//! Keys by which callers name their team.

use std::fmt;
use std::sync::Arc;

/// A secret that identifies a team. It never reaches a log line.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// A key as a caller or the configuration states it.
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
