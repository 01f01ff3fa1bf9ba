//! Non-idempotent calls that were started or fenced in this incarnation of the process.

use std::collections::{HashMap, VecDeque};

use crate::admission::evicted_calls;
use crate::attempt;
use crate::ids;
use crate::units;

type Key = (ids::CallId, ids::Generation);

/// Limits on the size of the call table.
#[derive(Clone, Copy, Debug)]
pub struct CallBounds {
    /// Maximum number of calls that have ended or were fenced.
    pub entries: usize,
    /// Maximum total size of the answers kept.
    pub bytes: units::Bytes,
}

/// State of a call, as far as it is known beside the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// Not started, and never will be.
    Fenced,
    /// Started, and not ended yet.
    Running,
    /// Ended with this answer.
    Finished(attempt::ServiceAnswer),
    /// Started with an unknown end, meant for another incarnation, or evicted from the
    /// table.
    Unknown,
}

/// Reason why a call is not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The call is meant for another incarnation of this process.
    Incarnation,
    /// The call has been fenced or started before, or may have been.
    Known(CallState),
}

/// Calls by id and generation. An ended call that exceeds the limits is kept in a filter
/// without false negatives, which errs towards `Unknown`: the call is neither started again
/// nor reported as fenced.
#[derive(Debug)]
pub struct CallTable {
    incarnation: ids::Incarnation,
    bounds: CallBounds,
    states: HashMap<Key, CallState>,
    ended: VecDeque<Key>,
    bytes: usize,
    evicted: evicted_calls::EvictedCalls,
}

impl CallTable {
    /// Creates an empty table for one incarnation of the process.
    #[must_use]
    pub fn new(incarnation: ids::Incarnation, bounds: CallBounds) -> Self {
        Self {
            incarnation,
            bounds,
            states: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            evicted: evicted_calls::EvictedCalls::default(),
        }
    }

    /// Starts a call; succeeds once for each call and generation.
    pub fn start(&mut self, call: &attempt::CallRef) -> Result<(), CallRefusal> {
        if call.incarnation != self.incarnation {
            return Err(CallRefusal::Incarnation);
        }
        let key = (call.call, call.generation);
        if let Some(state) = self.recorded_state(&key) {
            return Err(CallRefusal::Known(state));
        }
        self.states.insert(key, CallState::Running);
        Ok(())
    }

    /// Removes a started call that has certainly not reached the service, so that it can
    /// still be started or fenced.
    pub fn abandon(&mut self, call: &attempt::CallRef) {
        let key = (call.call, call.generation);
        if self.states.get(&key) == Some(&CallState::Running) {
            self.states.remove(&key);
        }
    }

    /// Records the end of a started call; `answer` is `None` if the answer is not known.
    pub fn finish(&mut self, call: &attempt::CallRef, answer: Option<attempt::ServiceAnswer>) {
        let key = (call.call, call.generation);
        if self.states.get(&key) != Some(&CallState::Running) {
            return;
        }
        self.record_end(key, answer.map_or(CallState::Unknown, CallState::Finished));
    }

    /// Fences a call that has not been started; returns the state of any other call.
    pub fn fence(
        &mut self,
        call: ids::CallId,
        generation: ids::Generation,
        incarnation: ids::Incarnation,
    ) -> CallState {
        if incarnation != self.incarnation {
            return CallState::Unknown;
        }
        let key = (call, generation);
        if let Some(state) = self.recorded_state(&key) {
            return state;
        }
        self.record_end(key, CallState::Fenced);
        CallState::Fenced
    }

    fn recorded_state(&self, key: &Key) -> Option<CallState> {
        let evicted = || self.evicted.contains(key).then_some(CallState::Unknown);
        self.states.get(key).cloned().or_else(evicted)
    }

    fn record_end(&mut self, key: Key, state: CallState) {
        self.bytes += answer_bytes(&state);
        self.states.insert(key, state);
        self.ended.push_back(key);
        while self.ended.len() > self.bounds.entries || self.bytes > self.bounds.bytes.as_usize() {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            self.evicted.insert(&oldest);
            if let Some(state) = self.states.remove(&oldest) {
                self.bytes -= answer_bytes(&state);
            }
        }
    }
}

fn answer_bytes(state: &CallState) -> usize {
    match state {
        CallState::Finished(answer) => {
            answer.body.len() + answer.content_type.as_ref().map_or(0, |text| text.len())
        }
        _ => 0,
    }
}
