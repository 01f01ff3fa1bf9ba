//! A caller's call of a plain service.

use std::sync::Arc;
use std::time::Instant;

use crate::attempt;
use crate::calls;
use crate::ids;
use crate::route;
use crate::units;

/// A call that has been checked and may be run.
#[derive(Clone, Debug)]
pub struct ServiceAsk {
    /// Its id.
    pub id: ids::RequestId,
    /// The team.
    pub team: ids::TeamName,
    /// The service.
    pub service: ids::ServiceName,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query at the service.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
    /// The key, for a call that runs at most once.
    pub key: Option<calls::Key>,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Order of service.
    pub priority: attempt::Priority,
    /// The place within the team's limit.
    pub permit: Arc<route::TeamPermit>,
}

impl ServiceAsk {
    /// Digest of what the call asks for; a key stands for exactly one.
    #[must_use]
    pub fn digest(&self) -> ids::Digest {
        ids::Digest::of_parts(&[self.method.as_bytes(), self.path.as_bytes(), &self.body])
    }

    /// Identity of team and content.
    #[must_use]
    pub fn fingerprint(&self) -> ids::Fingerprint {
        let content = self.digest().to_string();
        ids::Fingerprint::of(&self.team, content.as_bytes())
    }

    /// Time left for the answer.
    #[must_use]
    pub fn time_left(&self) -> units::Millis {
        units::Millis::from(self.deadline.saturating_duration_since(Instant::now()))
    }
}
