//! Outcomes of a request's attempts, as evidence about the versions that were tried.

use std::sync::Arc;

use crate::direct;
use crate::rollout;

/// Outcomes of the attempts of one request. Failures are held back until the request ends:
/// one that fails at several endpoints and succeeds at none fails by itself.
#[derive(Debug, Default)]
pub struct Outcomes {
    failures: Vec<(Arc<direct::Evidence>, direct::Sample)>,
    is_answered: bool,
}

impl Outcomes {
    /// Adds the outcome of an attempt.
    pub fn add(&mut self, evidence: &Arc<direct::Evidence>, sample: direct::Sample) {
        if sample.outcome == rollout::AttemptOutcome::Failed {
            self.failures.push((Arc::clone(evidence), sample));
            return;
        }
        self.is_answered = true;
        evidence.add(sample);
    }
}

impl Drop for Outcomes {
    fn drop(&mut self) {
        if self.is_answered || self.failures.len() == 1 {
            for (evidence, sample) in self.failures.drain(..) {
                evidence.add(sample);
            }
        }
    }
}

/// An attempt that waits for the head of its answer. Dropped before [`Waiting::end`], it
/// counts as abandoned.
#[derive(Debug)]
pub struct Waiting {
    attempt: Option<(Arc<direct::Evidence>, direct::WaitingKey)>,
}

impl Waiting {
    /// Begins to wait. The outcome in `sample` is ignored.
    #[must_use]
    pub fn begin(evidence: &Arc<direct::Evidence>, sample: direct::Sample) -> Self {
        let key = evidence.begin_waiting(sample);
        Self {
            attempt: Some((Arc::clone(evidence), key)),
        }
    }

    /// Ends the wait with a result that is added by itself.
    pub fn end(mut self) {
        if let Some((evidence, key)) = self.attempt.take() {
            evidence.end_waiting(key);
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some((evidence, key)) = self.attempt.take() {
            evidence.abandon_waiting(key);
        }
    }
}
