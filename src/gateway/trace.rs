//! The record of one request, written as one line when it ends.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::balance;
use crate::ids;
use crate::observe;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
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
    route: Option<ids::RouteName>,
    summary: String,
    attempts: String,
    /// Choice for the attempt that is under way, and when it was made.
    chosen: Option<(balance::Choice, Duration)>,
    first: Option<Duration>,
    /// When the last part of the answer went to the caller.
    last: Option<Duration>,
    /// Longest time between two parts.
    pause: Option<Duration>,
    is_over: bool,
}

impl Trace {
    /// Begins the record of the request `id`.
    #[must_use]
    pub fn begin(id: Arc<str>) -> Self {
        Self {
            id,
            began: Instant::now(),
            route: None,
            summary: String::new(),
            attempts: String::new(),
            chosen: None,
            first: None,
            last: None,
            pause: None,
            is_over: false,
        }
    }

    /// Notes what decided about the request as a whole.
    pub fn note(&mut self, name: &str, value: &dyn std::fmt::Display) {
        let space = if self.summary.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.summary, "{space}{name}={value}");
    }

    /// Notes the route that takes the request.
    pub fn route(&mut self, route: &ids::RouteName) {
        self.note("route", route);
        self.route = Some(route.clone());
    }

    /// Notes the choice of an endpoint for an attempt that begins now.
    pub fn chosen(&mut self, choice: &balance::Choice) {
        self.chosen = Some((choice.clone(), self.began.elapsed()));
    }

    /// Notes what came of one attempt at an endpoint; `kind` is its label in the metrics.
    pub fn attempt(
        &mut self,
        endpoint: &ids::EndpointId,
        kind: &'static str,
        result: &dyn std::fmt::Display,
    ) {
        observe::metrics().direct_attempt(endpoint, kind);
        self.note_attempt(endpoint, result);
    }

    fn note_attempt(&mut self, endpoint: &ids::EndpointId, result: &dyn std::fmt::Display) {
        let at = self.began.elapsed().as_millis();
        let separator = if self.attempts.is_empty() { "" } else { "; " };
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{separator}{endpoint} {result} at {at} ms");
        if let Some((choice, sent)) = self.chosen.take() {
            let sent = sent.as_millis();
            let _ = write!(self.attempts, " [{choice}, sent at {sent} ms]");
        }
    }

    /// A part of the answer goes to the caller.
    pub fn part(&mut self) {
        let now = self.began.elapsed();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.pause = self.pause.max(Some(now.saturating_sub(last)));
        }
    }

    /// Writes the record.
    pub fn finish(&mut self, outcome: Outcome, status: u16) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        if let Some(id) = self
            .chosen
            .as_ref()
            .map(|(choice, _)| choice.endpoint.record.id.clone())
        {
            self.note_attempt(&id, &"under way");
        }
        let total = self.began.elapsed();
        observe::metrics().direct_ended(&observe::DirectEnded {
            route: self.route.as_ref().map_or("", ids::RouteName::as_str),
            outcome: outcome.into(),
            status,
            first: self.first,
            total,
        });
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(target: "request", request:% = self.id, outcome:% = outcome, status = status,
            first_ms = self.first.map(millis), pause_ms = self.pause.map(millis), total_ms = millis(total), decided:% = self.summary,
            attempts:% = self.attempts; "request ended");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish(Outcome::CallerLeft, 0);
    }
}
