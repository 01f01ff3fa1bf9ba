//! Billing of a running request.

use std::sync::Arc;

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::entry::cx;
use crate::errors;
use crate::runtime;
use crate::units;

/// Puts exactly one usage record into the outbox for a request that ran. A bill that
/// is dropped before it is closed is recorded as that of a cancelled request.
#[derive(Debug)]
pub struct Bill {
    cx: cx::Shared,
    draft: Option<billing::Draft>,
}

impl Bill {
    /// Creates the bill of the request that `draft` describes.
    #[must_use]
    pub const fn new(cx: cx::Shared, draft: billing::Draft) -> Self {
        Self {
            cx,
            draft: Some(draft),
        }
    }

    /// Adds an attempt that begins now.
    pub fn begin_attempt(&mut self, attempt: billing::AttemptRecord) {
        if let Some(draft) = &mut self.draft {
            draft.begin_attempt(attempt);
        }
    }

    /// Records why the latest attempt did not produce the answer.
    pub fn record_failure(&mut self, refusal: &errors::Refusal) {
        if let Some(draft) = &mut self.draft {
            draft.record_failure(refusal);
        }
    }

    /// Records that the latest attempt has run or may have run.
    pub const fn mark_ran(&mut self) {
        if let Some(draft) = &mut self.draft {
            draft.mark_ran();
        }
    }

    /// Adds the tokens that an attempt on `version` used.
    pub fn add_usage(&mut self, version: &Arc<catalog::Version>, usage: attempt::Usage) {
        if let Some(draft) = &mut self.draft {
            draft.add_usage(version, usage);
        }
    }

    /// Returns cost and tokens so far; zero once the bill is closed.
    #[must_use]
    pub fn totals(&self) -> (units::MicroCost, attempt::Usage) {
        self.draft
            .as_ref()
            .map(|draft| (draft.cost(), draft.usage()))
            .unwrap_or_default()
    }

    /// Returns the refusal for the caller. If an attempt may have run, a code that says
    /// "not run" would be false and is replaced by `Interrupted`.
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

    /// Closes the bill and queues its record if an attempt may have run; `None` means
    /// that the request was answered. Further calls have no effect.
    pub fn close(&mut self, result: Option<errors::ResultCode>) {
        let Some(draft) = self.draft.take() else {
            return;
        };
        let Some(record) = draft.finish(result, unix_now()) else {
            return;
        };
        let request = record.request;
        if !self.cx.with_outbox(|outbox| outbox.push(record)) {
            log::error!(
                "billing: outbox full; only the sidecar's copy of the record of {request} remains."
            );
        }
    }
}

impl Drop for Bill {
    fn drop(&mut self) {
        self.close(Some(errors::ResultCode::Cancelled));
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn unix_now() -> units::Millis {
    units::Millis::from(runtime::since_epoch())
}
