//! Non-idempotent calls that were started or fenced in this run of the process.

use std::collections::{HashMap, VecDeque};

use crate::admission::forgotten;
use crate::attempt;
use crate::ids;
use crate::units;

type Key = (ids::CallId, ids::Generation);

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct CallBounds {
    /// Calls that have ended or were fenced.
    pub entries: usize,
    /// Sum of the answers kept.
    pub bytes: units::Bytes,
}

/// What is known of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// Never started and never will be.
    Fenced,
    /// Running.
    Running,
    /// Answered.
    Finished(attempt::ServiceAnswer),
    /// Started, and its end is not known; or meant for another run; or forgotten.
    Unknown,
}

/// Why a call is not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// It was meant for another run of this process.
    Incarnation,
    /// It was fenced, was started before, or may have been.
    Known(CallState),
}

/// Calls by id and generation. An ended call that falls out of the bounds is
/// remembered in a filter that never forgets and errs towards `Unknown`, so
/// that it is neither started again nor said to be fenced.
#[derive(Debug)]
pub struct Calls {
    incarnation: ids::Incarnation,
    bounds: CallBounds,
    states: HashMap<Key, CallState>,
    ended: VecDeque<Key>,
    bytes: usize,
    forgotten: forgotten::Forgotten,
}

impl Calls {
    /// An empty table of the run `incarnation`.
    #[must_use]
    pub fn new(incarnation: ids::Incarnation, bounds: CallBounds) -> Self {
        Self {
            incarnation,
            bounds,
            states: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            forgotten: forgotten::Forgotten::default(),
        }
    }

    /// Starts a call; succeeds once for each call and generation.
    pub fn start(&mut self, call: &attempt::CallRef) -> Result<(), CallRefusal> {
        if call.incarnation != self.incarnation {
            return Err(CallRefusal::Incarnation);
        }
        let key = (call.call, call.generation);
        if let Some(state) = self.known(&key) {
            return Err(CallRefusal::Known(state));
        }
        self.states.insert(key, CallState::Running);
        Ok(())
    }

    /// A call that was started has certainly not reached the service.
    pub fn abandon(&mut self, call: &attempt::CallRef) {
        let key = (call.call, call.generation);
        if self.states.get(&key) == Some(&CallState::Running) {
            self.states.remove(&key);
        }
    }

    /// A call that was started has ended; `None` where its answer is not known.
    pub fn finish(&mut self, call: &attempt::CallRef, answer: Option<attempt::ServiceAnswer>) {
        let key = (call.call, call.generation);
        if self.states.get(&key) != Some(&CallState::Running) {
            return;
        }
        self.end(key, answer.map_or(CallState::Unknown, CallState::Finished));
    }

    /// Fences a call that has not been started; says what has become of others.
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
        if let Some(state) = self.known(&key) {
            return state;
        }
        self.end(key, CallState::Fenced);
        CallState::Fenced
    }

    fn known(&self, key: &Key) -> Option<CallState> {
        let forgotten = || self.forgotten.contains(key).then_some(CallState::Unknown);
        self.states.get(key).cloned().or_else(forgotten)
    }

    fn end(&mut self, key: Key, state: CallState) {
        self.bytes += size(&state);
        self.states.insert(key, state);
        self.ended.push_back(key);
        while self.ended.len() > self.bounds.entries || self.bytes > self.bounds.bytes.as_usize() {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            self.forgotten.insert(&oldest);
            if let Some(state) = self.states.remove(&oldest) {
                self.bytes -= size(&state);
            }
        }
    }
}

fn size(state: &CallState) -> usize {
    match state {
        CallState::Finished(answer) => {
            answer.body.len() + answer.content_type.as_ref().map_or(0, |text| text.len())
        }
        _ => 0,
    }
}
