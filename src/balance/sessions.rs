//! The version that each session has used last.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Sessions that are remembered; more are forgotten oldest first.
const MAX_SESSIONS: usize = 20_000;

/// Versions by session and service.
#[derive(Debug, Default)]
pub struct Sessions {
    used: HashMap<(ids::Fingerprint, ids::ServiceName), (ids::VersionName, runtime::Moment)>,
}

impl Sessions {
    /// The version that the session used within `span`.
    #[must_use]
    pub fn version(
        &self,
        session: ids::Fingerprint,
        service: &ids::ServiceName,
        span: Duration,
        now: runtime::Moment,
    ) -> Option<&ids::VersionName> {
        self.used
            .get(&(session, service.clone()))
            .filter(|(_, used)| now.since(*used) < span)
            .map(|(version, _)| version)
    }

    /// Records a use.
    pub fn used(
        &mut self,
        session: ids::Fingerprint,
        service: &ids::ServiceName,
        version: &ids::VersionName,
        span: Duration,
        now: runtime::Moment,
    ) {
        if self.used.len() >= MAX_SESSIONS {
            self.used.retain(|_, (_, used)| now.since(*used) < span);
            if self.used.len() >= MAX_SESSIONS {
                self.used.clear();
            }
        }
        self.used
            .insert((session, service.clone()), (version.clone(), now));
    }
}
