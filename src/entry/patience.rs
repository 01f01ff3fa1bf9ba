//! Waiting for an endpoint.

use std::time::{Duration, Instant};

use smol::Timer;

use crate::control;
use crate::errors;
use crate::ids;
use crate::poison;

/// Longest wait; the loss of an endpoint and the return of another show within it.
const LIMIT: Duration = Duration::from_secs(3);
/// Pause between decisions.
const PAUSE: Duration = Duration::from_millis(100);

/// Waiting for an endpoint within a request's time. While a failure domain
/// leaves or an entry starts, there may be none for a moment, and a request
/// that was refused then would be lost although it could be run.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    until: Instant,
}

impl Patience {
    /// Patience of a request with this deadline.
    #[must_use]
    pub fn new(deadline: Instant) -> Self {
        Self {
            until: deadline.min(Instant::now() + LIMIT),
        }
    }

    /// Waits before another decision; false where the refusal is final. A
    /// suspect is refused at once, since it must not be tried more often.
    pub async fn wait(
        self,
        refusal: &errors::Refusal,
        snapshot: &control::Snapshot,
        fingerprint: ids::Fingerprint,
    ) -> bool {
        let worthwhile = refusal.code == errors::ResultCode::NoEndpoint
            && snapshot.quarantine.suspicion(fingerprint) == poison::Suspicion::Clear
            && Instant::now() + PAUSE < self.until;
        if worthwhile {
            Timer::after(PAUSE).await;
        }
        worthwhile
    }
}
