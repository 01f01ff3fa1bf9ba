//! Writes claims and outcomes of non-idempotent calls to the log and reads them back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::Timer;
use smol::channel::{self, Receiver, Sender};

use crate::attempt;
use crate::calls;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Time for which records are collected into one append.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of records in one append; about 150 KB of claims.
const MAX_BATCH_RECORDS: usize = 500;
/// Maximum number of records queued for an append. Further claims are refused.
const QUEUE_CAPACITY_RECORDS: usize = 10_000;
/// Maximum time for which a read at the end of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Pause before a failed read or append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a planned stop checks whether outcomes are still queued.
const DRAIN_POLL: Duration = Duration::from_millis(20);

type ClaimId = (ids::RequestId, ids::Generation);

/// State of all calls as read from the `calls` stream, and the queue of this entry's
/// own records for it.
#[derive(Debug)]
pub struct CallRegistry {
    log: platform::LogClient,
    state: Mutex<State>,
    queue_tx: Sender<calls::CallRecord>,
    queue_rx: Receiver<calls::CallRecord>,
    pending_outcomes: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    ledger: calls::Ledger,
    caught_up: bool,
    waiters: HashMap<ClaimId, Sender<calls::RecordEffect>>,
}

impl CallRegistry {
    /// Creates a registry that has read nothing yet.
    #[must_use]
    pub fn new(log: platform::LogClient) -> Self {
        let (queue_tx, queue_rx) = channel::bounded(QUEUE_CAPACITY_RECORDS);
        Self {
            log,
            state: Mutex::default(),
            queue_tx,
            queue_rx,
            pending_outcomes: AtomicUsize::new(0),
        }
    }

    /// Follows the stream; never returns.
    pub async fn follow(self: Arc<Self>) {
        loop {
            if let Err(err) = self.read().await {
                log::warn!("calls: cannot read the calls stream: {err}.");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    async fn read(&self) -> Result<(), platform::PlatformError> {
        let (next, wait) = {
            let state = self.lock();
            let wait = if state.caught_up {
                READ_WAIT
            } else {
                Duration::ZERO
            };
            (state.ledger.next_offset(), wait)
        };
        let page = self.log.read(platform::Stream::Calls, next, wait).await?;
        let now = Instant::now();
        let mut state = self.lock();
        state.ledger.skip_to(page.first_retained);
        for record in &page.records {
            let body = decode(&record.body);
            state.apply(record.offset, body.as_ref(), now);
        }
        state.ledger.expire(now);
        state.caught_up |= state.ledger.next_offset() >= page.end;
        Ok(())
    }

    /// Appends queued records in batches until the queue is closed.
    pub async fn append_queued(self: Arc<Self>) {
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() {
                let Ok(first) = self.queue_rx.recv().await else {
                    return;
                };
                batch.push(first);
                Timer::after(BATCH_DELAY).await;
            }
            while batch.len() < MAX_BATCH_RECORDS
                && let Ok(record) = self.queue_rx.try_recv()
            {
                batch.push(record);
            }
            let values: Vec<Value> = batch
                .iter()
                .filter_map(|record| serde_json::to_value(record).ok())
                .collect();
            match self.log.append(platform::Stream::Calls, &values).await {
                Ok(_) => self.on_appended(&mut batch),
                Err(err) => {
                    log::warn!("calls: cannot append to the calls stream: {err}.");
                    self.on_append_failed(&mut batch, &err);
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn on_appended(&self, batch: &mut Vec<calls::CallRecord>) {
        let outcomes = batch
            .iter()
            .filter(|record| matches!(record, calls::CallRecord::Outcome(_)))
            .count();
        self.pending_outcomes.fetch_sub(outcomes, Ordering::AcqRel);
        batch.clear();
    }

    /// Keeps the outcomes of a failed append for the next one, since a repeated outcome
    /// has no effect. A claim is never appended again: if its append took effect, the
    /// follower reads it; otherwise the call is refused.
    fn on_append_failed(&self, batch: &mut Vec<calls::CallRecord>, err: &platform::PlatformError) {
        let in_doubt = err.may_have_taken_effect();
        batch.retain(|record| {
            let calls::CallRecord::Claim(claim) = record else {
                return true;
            };
            if !in_doubt {
                self.lock().waiters.remove(&claim_id(claim));
            }
            false
        });
    }

    /// Returns the current claim of a call, or `None` if there is none. Fails until
    /// the stream has been read up to its end once.
    pub fn current_claim(
        &self,
        call: ids::CallId,
    ) -> Result<Option<calls::CurrentClaim>, NotCaughtUp> {
        let state = self.lock();
        if !state.caught_up {
            return Err(NotCaughtUp);
        }
        Ok(state.ledger.current_claim(call).cloned())
    }

    /// Appends a claim and waits until it is read back. Returns `None` if this fails or
    /// is not done by `deadline`; the call must then not be dispatched.
    pub async fn claim(
        &self,
        claim: calls::Claim,
        deadline: Instant,
    ) -> Option<calls::RecordEffect> {
        let id = claim_id(&claim);
        let (tx, rx) = channel::bounded(1);
        self.lock().waiters.insert(id, tx);
        let queued = self
            .queue_tx
            .try_send(calls::CallRecord::Claim(claim))
            .is_ok();
        let verdict = if queued {
            runtime::timeout_at(deadline, rx.recv()).await
        } else {
            None
        };
        self.lock().waiters.remove(&id);
        verdict.and_then(Result::ok)
    }

    /// Queues the outcome of a claim for an append.
    pub fn record_outcome(&self, claim: &calls::Claim, ran: calls::Ran) {
        let outcome = calls::CallRecord::Outcome(calls::Outcome {
            call: claim.call,
            generation: claim.generation,
            request: claim.request,
            ran,
        });
        self.pending_outcomes.fetch_add(1, Ordering::AcqRel);
        if self.queue_tx.try_send(outcome).is_err() {
            self.pending_outcomes.fetch_sub(1, Ordering::AcqRel);
            log::error!(
                "calls: queue full; the outcome of {} is kept only by the sidecar.",
                claim.call
            );
        }
    }

    /// Reads a recorded answer from the log. Returns `None` if there is none at `offset`
    /// or its body was too large to be kept.
    pub async fn recorded_answer(
        &self,
        offset: ids::Offset,
    ) -> Result<Option<attempt::ServiceAnswer>, platform::PlatformError> {
        let read = self
            .log
            .read(platform::Stream::Calls, offset, Duration::ZERO);
        let page = read.await?;
        let record = page
            .records
            .first()
            .filter(|record| record.offset == offset);
        let body = record.and_then(|record| decode(&record.body));
        match body {
            Some(calls::CallRecord::Outcome(calls::Outcome {
                ran: calls::Ran::Answered(answer),
                ..
            })) => Ok(answer.replay()),
            _ => Ok(None),
        }
    }

    /// Waits until all queued outcomes are appended or the deadline passes.
    pub async fn drain(&self, deadline: Instant) {
        while self.pending_outcomes.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, offset: ids::Offset, body: Option<&calls::CallRecord>, now: Instant) {
        let verdict = self.ledger.apply(offset, body, now);
        if let Some(calls::CallRecord::Claim(claim)) = body
            && verdict != calls::RecordEffect::Ignored
            && let Some(waiters) = self.waiters.remove(&claim_id(claim))
        {
            let _ = waiters.try_send(verdict);
        }
    }
}

/// Error: the stream has not been read up to its end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotCaughtUp;

const fn claim_id(claim: &calls::Claim) -> ClaimId {
    (claim.request, claim.generation)
}

/// Decodes a record. Returns `None` for an invalid one, which all readers skip.
fn decode(body: &Value) -> Option<calls::CallRecord> {
    serde::Deserialize::deserialize(body).ok()
}
