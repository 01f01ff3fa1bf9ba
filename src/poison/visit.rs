//! Life cycle of a visit: a caller's request at this entry, with all its executions.
//!
//! Load pattern: a request that crashes one endpoint at each visit and comes to another entry
//! each time, beside many requests that are in flight at an endpoint when it crashes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State while the request may still be answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ongoing {
    has_crashed: bool,
}

/// State after an endpoint has answered the request, which so crashes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered;

/// State after the request was given up, or its caller has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unanswered;

/// A visit in the state `S`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visit<S> {
    state: S,
}

impl Visit<Ongoing> {
    const fn record_crash(mut self) -> Self {
        self.state.has_crashed = true;
        self
    }
}

impl From<Visit<Ongoing>> for Visit<Answered> {
    fn from(_: Visit<Ongoing>) -> Self {
        Self { state: Answered }
    }
}

impl From<Visit<Ongoing>> for Visit<Unanswered> {
    fn from(_: Visit<Ongoing>) -> Self {
        Self { state: Unanswered }
    }
}

/// Whether a visit may still clear its request, once an endpoint has crashed under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum VisitStage {
    /// It goes on; an answer would clear the request.
    Ongoing,
    /// It has ended without an answer.
    Unanswered,
}

#[derive(Clone, Copy, Debug)]
enum AnyVisit {
    Ongoing(Visit<Ongoing>),
    Answered(Visit<Answered>),
    Unanswered(Visit<Unanswered>),
}

/// Handle to a visit; clones share it. Crashes may be found after it has ended.
#[derive(Clone, Debug)]
pub struct VisitHandle(Arc<Mutex<AnyVisit>>);

impl Default for VisitHandle {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(AnyVisit::Ongoing(Visit::default()))))
    }
}

impl VisitHandle {
    fn lock(&self) -> MutexGuard<'_, AnyVisit> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint has crashed under the request, and passes the stage of the
    /// visit to `report`, which no change of the stage overtakes. Does nothing if the request
    /// was answered.
    pub fn record_crash(&self, report: impl FnOnce(VisitStage)) {
        let mut visit = self.lock();
        match *visit {
            AnyVisit::Ongoing(ongoing) => {
                *visit = AnyVisit::Ongoing(ongoing.record_crash());
                report(VisitStage::Ongoing);
            }
            AnyVisit::Unanswered(_) => report(VisitStage::Unanswered),
            AnyVisit::Answered(_) => {}
        }
    }

    /// Records that the request was answered.
    pub fn answer(&self) {
        let mut visit = self.lock();
        if let AnyVisit::Ongoing(ongoing) = *visit {
            *visit = AnyVisit::Answered(ongoing.into());
        }
    }

    /// Ends the visit. Calls `report` if it goes unanswered after a crash.
    pub fn end(&self, report: impl FnOnce()) {
        let mut visit = self.lock();
        if let AnyVisit::Ongoing(ongoing) = *visit {
            *visit = AnyVisit::Unanswered(ongoing.into());
            if ongoing.state.has_crashed {
                report();
            }
        }
    }

    /// Whether the request was answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(*self.lock(), AnyVisit::Answered(_))
    }
}
