//! The record of one request, written as one line when it ends.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;

use crate::ids;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The endpoint's answer was delivered.
    Answered,
    /// The endpoint's failure was delivered.
    Failed,
    /// The router refused; the request was not run.
    Refused,
    /// The router gave up; the request may have run.
    GaveUp,
    /// The answer broke off and could not be resumed.
    Interrupted,
    /// The caller left before the end.
    CallerLeft,
}

/// Collects what decided about one request. Dropping it before
/// [`Trace::finish`] means that the caller left.
#[derive(Debug)]
pub struct Trace {
    id: Arc<str>,
    began: Instant,
    summary: String,
    attempts: String,
    first_ms: Option<u64>,
    is_over: bool,
}

impl Trace {
    /// Begins the record of the request `id`.
    #[must_use]
    pub fn begin(id: Arc<str>) -> Self {
        Self {
            id,
            began: Instant::now(),
            summary: String::new(),
            attempts: String::new(),
            first_ms: None,
            is_over: false,
        }
    }

    /// Notes what decided about the request as a whole.
    pub fn note(&mut self, name: &str, value: &dyn std::fmt::Display) {
        let space = if self.summary.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.summary, "{space}{name}={value}");
    }

    /// Notes what came of one attempt at an endpoint.
    pub fn attempt(&mut self, endpoint: &ids::EndpointId, result: &dyn std::fmt::Display) {
        let at = self.began.elapsed().as_millis();
        let separator = if self.attempts.is_empty() { "" } else { "; " };
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{separator}{endpoint} {result} at {at} ms");
    }

    /// The first part of the answer goes to the caller.
    pub fn first(&mut self) {
        let elapsed = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.first_ms.get_or_insert(elapsed);
    }

    /// Writes the record.
    pub fn finish(&mut self, outcome: Outcome, status: u16) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let elapsed = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(target: "request", request:% = self.id, outcome:% = outcome, status = status,
            first_ms:? = self.first_ms, total_ms = elapsed, decided:% = self.summary,
            attempts:% = self.attempts; "request ended");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish(Outcome::CallerLeft, 0);
    }
}
