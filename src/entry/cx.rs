//! Context that the tasks of an entry share.

use std::sync::{Arc, Mutex, PoisonError};

use crate::billing;
use crate::control;
use crate::entry;
use crate::errors;
use crate::fleet;
use crate::http;
use crate::route;
use crate::runtime;
use crate::session;
use crate::settings;
use crate::units;

/// Retry delay sent to callers whose request could be retried, but not by the entry now.
const RETRY_AFTER: units::Millis = units::Millis(1_000);

/// Context that the tasks of an entry share.
#[derive(Debug)]
pub struct EntryCx {
    /// Identity of this process.
    pub identity: fleet::Identity,
    /// Settings of the entry role.
    pub cfg: settings::EntrySettings,
    /// Handle of the control thread: its snapshots and its event queue.
    pub control: control::Control,
    /// Executor of the traffic threads.
    pub traffic: runtime::Traffic,
    /// Connections to sidecars and other entries, by VM.
    pub links: entry::Links,
    /// Key that seals session tokens.
    pub session_key: session::SessionKey,
    /// Usage records that are not durable yet.
    pub outbox: Mutex<billing::Outbox>,
    /// Claims and outcomes of non-idempotent calls.
    pub calls: Arc<entry::CallRegistry>,
    /// Ratings of answers by the rating service.
    pub ratings: Arc<entry::Ratings>,
    /// Budget that limits the load which retries add.
    pub retry_budget: Mutex<route::RetryBudget>,
    /// Memory for callers' connections and requests.
    pub callers_memory: Arc<http::BufferBudget>,
    /// Number of running requests of each team.
    pub team_load: route::TeamLoad,
}

impl EntryCx {
    /// Locks the outbox and calls `f` with it.
    pub fn with_outbox<T>(&self, f: impl FnOnce(&mut billing::Outbox) -> T) -> T {
        f(&mut self.outbox.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Refuses a request that [`Self::admit`] would refuse now, before its body is read. A
    /// permit is taken only afterwards, so that callers who stop short hold none.
    pub fn check_admission(&self, team: &control::TeamView) -> Result<(), errors::Refusal> {
        self.check_outbox()?;
        self.team_load.check(&team.name, team.max_concurrent)
    }

    fn check_outbox(&self) -> Result<(), errors::Refusal> {
        if !self.with_outbox(|outbox| outbox.is_nearly_full()) {
            return Ok(());
        }
        let code = errors::ResultCode::UsageQueueFull;
        let reason = "usage cannot be put on record at present";
        Err(errors::Refusal::new(code, reason).with_retry_after(RETRY_AFTER))
    }

    /// Admits a new request, which occupies a slot of its team until the permit is
    /// dropped. Refuses it if the outbox is nearly full, as its usage might be lost, or
    /// if the team is at its limit.
    pub fn admit(
        &self,
        team: &control::TeamView,
    ) -> Result<Arc<route::TeamPermit>, errors::Refusal> {
        self.check_outbox()?;
        let permit = self.team_load.acquire(&team.name, team.max_concurrent)?;
        self.with_retry_budget(route::RetryBudget::credit_request);
        Ok(Arc::new(permit))
    }

    /// Returns `Ok` if the request may be retried after this refusal, spending retry
    /// budget unless the retry is free; otherwise `Err` with the refusal for the caller.
    pub fn check_retry(
        &self,
        refusal: errors::Refusal,
    ) -> Result<errors::Refusal, errors::Refusal> {
        if !refusal.code.is_retryable() {
            return Err(refusal);
        }
        // An endpoint that is unreachable or takes no work bore no load, so the retry is
        // free. Otherwise a domain that is taken out while the entries cannot read the log
        // would exhaust the budget, and callers would be refused despite capacity elsewhere.
        let free = matches!(
            refusal.code,
            errors::ResultCode::Unreachable
                | errors::ResultCode::TakenOut
                | errors::ResultCode::Draining
        );
        if free || self.with_retry_budget(route::RetryBudget::try_spend) {
            return Ok(refusal);
        }
        log::warn!("route: retry budget exhausted; a request is not retried.");
        Err(with_retry_hint(refusal))
    }

    fn with_retry_budget<T>(&self, f: impl FnOnce(&mut route::RetryBudget) -> T) -> T {
        f(&mut self
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the refusal with a retry delay added if a retry can succeed and none is set.
#[must_use]
pub fn with_retry_hint(refusal: errors::Refusal) -> errors::Refusal {
    if refusal.code.is_retryable() && refusal.retry_after.is_none() {
        return refusal.with_retry_after(RETRY_AFTER);
    }
    refusal
}

/// Shared handle of the context.
pub type Shared = Arc<EntryCx>;
