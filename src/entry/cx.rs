//! What the tasks of an entry share.

use std::sync::{Arc, Mutex, PoisonError};

use crate::billing;
use crate::control;
use crate::entry;
use crate::errors;
use crate::fleet;
use crate::route;
use crate::runtime;
use crate::session;
use crate::settings;
use crate::units;

/// Hint to callers where a retry was possible but not paid for.
const RETRY_AFTER: units::Millis = units::Millis(1_000);

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct EntryCx {
    /// This process.
    pub me: fleet::Identity,
    /// Settings of the role.
    pub cfg: settings::EntrySettings,
    /// The control thread.
    pub control: control::Control,
    /// The traffic threads.
    pub traffic: runtime::Traffic,
    /// Connections to sidecars.
    pub links: entry::Links,
    /// The key of session tokens.
    pub session_key: session::SessionKey,
    /// Usage records that are not durable yet.
    pub outbox: Mutex<billing::Outbox>,
    /// Non-idempotent calls.
    pub calls: Arc<entry::CallBook>,
    /// Ratings of answers.
    pub ratings: Arc<entry::Ratings>,
    /// Bound on the load that retries add.
    pub retries: Mutex<route::RetryBudget>,
    /// Requests of each team that run.
    pub teams: route::TeamLoad,
}

impl EntryCx {
    /// Runs `f` on the outbox.
    pub fn with_outbox<T>(&self, f: impl FnOnce(&mut billing::Outbox) -> T) -> T {
        f(&mut self.outbox.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a new request in; refuses it where its usage could not be kept
    /// or its team is at its limit.
    pub fn admit(
        &self,
        team: &control::TeamView,
    ) -> Result<Arc<route::TeamPermit>, errors::Refusal> {
        if self.with_outbox(|outbox| outbox.is_nearly_full()) {
            return Err(errors::Refusal::new(
                errors::ResultCode::UsageQueueFull,
                "usage cannot be put on record at present",
            )
            .retry_after(RETRY_AFTER));
        }
        let permit = self.teams.enter(&team.name, team.max_concurrent)?;
        self.with_retries(route::RetryBudget::earn);
        Ok(Arc::new(permit))
    }

    /// Whether a request may be tried again after this refusal. An endpoint
    /// that could not be reached or takes no work at all has borne no load,
    /// so the retry is free. Where it was not, a domain taken out while the
    /// entries had lost the log used the budget up, and callers were refused
    /// although other domains had room.
    pub fn may_retry(&self, refusal: errors::Refusal) -> Result<errors::Refusal, errors::Refusal> {
        if !refusal.code.is_retryable() {
            return Err(refusal);
        }
        let free = matches!(
            refusal.code,
            errors::ResultCode::Unreachable
                | errors::ResultCode::TakenOut
                | errors::ResultCode::Draining
        );
        if free || self.with_retries(route::RetryBudget::try_spend) {
            return Ok(refusal);
        }
        log::warn!("route: the retry budget is used up.");
        Err(hinted(refusal))
    }

    fn with_retries<T>(&self, f: impl FnOnce(&mut route::RetryBudget) -> T) -> T {
        f(&mut self.retries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The refusal with a hint on when to retry, where a retry may succeed.
#[must_use]
pub fn hinted(refusal: errors::Refusal) -> errors::Refusal {
    if refusal.code.is_retryable() && refusal.retry_after.is_none() {
        return refusal.retry_after(RETRY_AFTER);
    }
    refusal
}

/// Shared by the tasks.
pub type Shared = Arc<EntryCx>;
