//! The bill of a running request.

use std::sync::Arc;

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::entry::cx;
use crate::errors;
use crate::runtime;
use crate::units;

/// Puts exactly one usage record into the outbox for a request that ran. A
/// bill that is dropped without an end is that of a cancelled request.
#[derive(Debug)]
pub struct Bill {
    cx: cx::Shared,
    draft: Option<billing::Draft>,
}

impl Bill {
    /// The bill of a request.
    #[must_use]
    pub const fn new(cx: cx::Shared, draft: billing::Draft) -> Self {
        Self {
            cx,
            draft: Some(draft),
        }
    }

    /// An attempt begins.
    pub fn begin_attempt(&mut self, attempt: billing::AttemptRecord) {
        if let Some(draft) = &mut self.draft {
            draft.begin_attempt(attempt);
        }
    }

    /// The last attempt did not give the answer.
    pub fn record_failure(&mut self, refusal: &errors::Refusal) {
        if let Some(draft) = &mut self.draft {
            draft.record_failure(refusal);
        }
    }

    /// The last attempt has run or may have run.
    pub const fn mark_ran(&mut self) {
        if let Some(draft) = &mut self.draft {
            draft.mark_ran();
        }
    }

    /// Adds what an attempt used.
    pub fn add_usage(&mut self, version: &Arc<catalog::Version>, usage: attempt::Usage) {
        if let Some(draft) = &mut self.draft {
            draft.add_usage(version, usage);
        }
    }

    /// Cost and tokens so far.
    #[must_use]
    pub fn totals(&self) -> (units::MicroCost, attempt::Usage) {
        self.draft
            .as_ref()
            .map(|draft| (draft.cost(), draft.usage()))
            .unwrap_or_default()
    }

    /// The refusal for the caller: where an attempt may have run, a code that
    /// says "not run" would be false.
    #[must_use]
    pub fn correct_not_run(&self, refusal: errors::Refusal) -> errors::Refusal {
        let has_run = self.draft.as_ref().is_some_and(billing::Draft::has_run);
        if has_run && refusal.code.is_not_run() {
            return errors::Refusal {
                code: errors::ResultCode::Interrupted,
                ..refusal
            };
        }
        refusal
    }

    /// Ends the bill; `None` where the request was answered.
    pub fn close(&mut self, result: Option<errors::ResultCode>) {
        let Some(draft) = self.draft.take() else {
            return;
        };
        let Some(record) = draft.finish(result, now()) else {
            return;
        };
        let request = record.request;
        if !self.cx.with_outbox(|outbox| outbox.push(record)) {
            log::error!(
                "billing: no room for the record of {request}; the endpoint's copy remains."
            );
        }
    }
}

impl Drop for Bill {
    fn drop(&mut self) {
        self.close(Some(errors::ResultCode::Cancelled));
    }
}

/// Milliseconds since 1970.
#[must_use]
pub fn now() -> units::Millis {
    units::Millis::from(runtime::since_epoch())
}
