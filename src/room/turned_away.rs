//! Endpoints that have turned a request away because they were full.
//!
//! Load pattern: a burst on few endpoints, which refuse what does not fit and get the
//! same requests again. Their load is reported with the refusal, but is old within the time
//! of one request.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Part of the usual work after which some slots have been left.
const FULL_DIVISOR: u32 = 2;
/// Longest time for which a refusal counts, whatever the endpoint's usual work takes.
const MAX_FULL: Duration = Duration::from_secs(1);

/// Endpoints of a service that have refused a request of this entry as full.
#[derive(Debug, Default)]
pub struct TurnedAway {
    full_until: HashMap<ids::EndpointId, runtime::Moment>,
}

impl TurnedAway {
    /// Records a refusal. `work` is the usual time for which a request takes a slot.
    pub fn record(&mut self, endpoint: &ids::EndpointId, work: Duration, now: runtime::Moment) {
        self.full_until.retain(|_, until| *until > now);
        let until = now.saturating_add((work / FULL_DIVISOR).min(MAX_FULL));
        self.full_until.insert(endpoint.clone(), until);
    }

    /// Returns until when the endpoint is taken to be full; `None` if it is not.
    #[must_use]
    pub fn full_until(
        &self,
        endpoint: &ids::EndpointId,
        now: runtime::Moment,
    ) -> Option<runtime::Moment> {
        let until = self.full_until.get(endpoint).copied();
        until.filter(|until| *until > now)
    }
}
