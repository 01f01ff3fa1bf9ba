//! Claims and outcomes of non-idempotent calls on their way to the log and back.

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

/// Time over which records are collected into one append.
const GROUP_TIME: Duration = Duration::from_millis(10);
/// Records in one append; about 150 KB of claims.
const GROUP: usize = 500;
/// Records that wait for an append. Claims beyond it are refused.
const QUEUE: usize = 10_000;
/// Longest wait of a read for new records.
const POLL: Duration = Duration::from_secs(2);
/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a stop looks whether outcomes still wait.
const DRAIN_POLL: Duration = Duration::from_millis(20);

type ClaimId = (ids::RequestId, ids::Generation);

/// The calls that this entry knows, and its part of the stream's writing.
#[derive(Debug)]
pub struct CallBook {
    log: platform::LogClient,
    state: Mutex<State>,
    queue: Sender<calls::CallRecord>,
    queued: Receiver<calls::CallRecord>,
    outcomes: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    ledger: calls::Ledger,
    caught_up: bool,
    waiting: HashMap<ClaimId, Sender<calls::Verdict>>,
}

impl CallBook {
    /// Nothing known yet.
    #[must_use]
    pub fn new(log: platform::LogClient) -> Self {
        let (queue, queued) = channel::bounded(QUEUE);
        Self {
            log,
            state: Mutex::default(),
            queue,
            queued,
            outcomes: AtomicUsize::new(0),
        }
    }

    /// Reads the stream for good.
    pub async fn follow(self: Arc<Self>) {
        loop {
            if let Err(err) = self.read().await {
                log::warn!("calls: cannot read the log: {err}.");
                Timer::after(PAUSE).await;
            }
        }
    }

    async fn read(&self) -> Result<(), platform::PlatformError> {
        let (next, wait) = {
            let state = self.lock();
            let wait = if state.caught_up {
                POLL
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

    /// Appends queued records for good.
    pub async fn commit(self: Arc<Self>) {
        let mut group = Vec::new();
        loop {
            if group.is_empty() {
                let Ok(first) = self.queued.recv().await else {
                    return;
                };
                group.push(first);
                Timer::after(GROUP_TIME).await;
            }
            while group.len() < GROUP
                && let Ok(record) = self.queued.try_recv()
            {
                group.push(record);
            }
            let values: Vec<Value> = group
                .iter()
                .filter_map(|record| serde_json::to_value(record).ok())
                .collect();
            match self.log.append(platform::Stream::Calls, &values).await {
                Ok(_) => self.appended(&mut group),
                Err(err) => {
                    log::warn!("calls: cannot append: {err}.");
                    self.not_appended(&mut group, &err);
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    fn appended(&self, group: &mut Vec<calls::CallRecord>) {
        let outcomes = group
            .iter()
            .filter(|record| matches!(record, calls::CallRecord::Outcome(_)))
            .count();
        self.outcomes.fetch_sub(outcomes, Ordering::AcqRel);
        group.clear();
    }

    /// Keeps the outcomes for the next append: a repeated outcome has no
    /// effect. A claim is never appended again: the follower finds it if its
    /// append took effect, and otherwise the call is refused.
    fn not_appended(&self, group: &mut Vec<calls::CallRecord>, err: &platform::PlatformError) {
        let unknown = err.may_have_taken_effect();
        group.retain(|record| {
            let calls::CallRecord::Claim(claim) = record else {
                return true;
            };
            if !unknown {
                self.lock().waiting.remove(&claim_id(claim));
            }
            false
        });
    }

    /// The present claim of a call; `Err` before the stream has been read once.
    pub fn standing(&self, call: ids::CallId) -> Result<Option<calls::Standing>, NotCaughtUp> {
        let state = self.lock();
        if !state.caught_up {
            return Err(NotCaughtUp);
        }
        Ok(state.ledger.standing(call).cloned())
    }

    /// Appends a claim and waits until it is read back. `None` where that
    /// fails or takes until `deadline`; the claim must then not be dispatched.
    pub async fn claim(&self, claim: calls::Claim, deadline: Instant) -> Option<calls::Verdict> {
        let id = claim_id(&claim);
        let (tx, rx) = channel::bounded(1);
        self.lock().waiting.insert(id, tx);
        let queued = self.queue.try_send(calls::CallRecord::Claim(claim)).is_ok();
        let verdict = if queued {
            runtime::timeout_at(deadline, rx.recv()).await
        } else {
            None
        };
        self.lock().waiting.remove(&id);
        verdict.and_then(Result::ok)
    }

    /// Puts the end of a claim on record.
    pub fn end(&self, claim: &calls::Claim, ran: calls::Ran) {
        let outcome = calls::CallRecord::Outcome(calls::Outcome {
            call: claim.call,
            generation: claim.generation,
            request: claim.request,
            ran,
        });
        self.outcomes.fetch_add(1, Ordering::AcqRel);
        if self.queue.try_send(outcome).is_err() {
            self.outcomes.fetch_sub(1, Ordering::AcqRel);
            log::error!(
                "calls: no room for the outcome of {}; the endpoint's process keeps it.",
                claim.call
            );
        }
    }

    /// Reads a recorded answer again.
    pub async fn recorded(
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

    /// Waits until all outcomes are on record or the deadline passes.
    pub async fn drain(&self, deadline: Instant) {
        while self.outcomes.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
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
            && verdict != calls::Verdict::Ignored
            && let Some(waiting) = self.waiting.remove(&claim_id(claim))
        {
            let _ = waiting.try_send(verdict);
        }
    }
}

/// The stream has not been read up to its end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotCaughtUp;

const fn claim_id(claim: &calls::Claim) -> ClaimId {
    (claim.request, claim.generation)
}

/// The record; `None` where it cannot be decoded, which all readers skip alike.
fn decode(body: &Value) -> Option<calls::CallRecord> {
    serde::Deserialize::deserialize(body).ok()
}
