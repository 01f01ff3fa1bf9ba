//! Trace of one request, logged as one line when the request ends.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::balance;
use crate::ids;
use crate::observe;

/// Outcome of a request, in the log line and as a label of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The endpoint's answer was delivered.
    Answered,
    /// The endpoint's failure was delivered.
    Failed,
    /// The router refused the request, which was not executed.
    Refused,
    /// The router ended the request without an answer; it may have been executed.
    GaveUp,
    /// The answer broke off and could not be resumed.
    Interrupted,
    /// The caller left before the end.
    CallerLeft,
}

/// Collects the decisions about one request. Dropping it before [`Trace::finish`] means
/// that the caller left.
#[derive(Debug)]
pub struct Trace {
    id: Arc<str>,
    started_at: Instant,
    route: Option<ids::RouteName>,
    summary: String,
    attempts: String,
    /// Choice for the attempt in progress, with the time since the start of the request.
    chosen: Option<(balance::Choice, Duration)>,
    first_part: Option<Duration>,
    /// Time from the start of the request to the last part that was passed to the caller.
    last_part: Option<Duration>,
    /// Longest time between two consecutive parts of the answer.
    longest_pause: Option<Duration>,
    is_finished: bool,
}

impl Trace {
    /// Starts the trace of the request `id`.
    #[must_use]
    pub fn begin(id: Arc<str>) -> Self {
        Self {
            id,
            started_at: Instant::now(),
            route: None,
            summary: String::new(),
            attempts: String::new(),
            chosen: None,
            first_part: None,
            last_part: None,
            longest_pause: None,
            is_finished: false,
        }
    }

    /// Adds `name=value` to the `decided` field of the log line.
    pub fn note(&mut self, name: &str, value: &dyn std::fmt::Display) {
        let space = if self.summary.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.summary, "{space}{name}={value}");
    }

    /// Records the route that the request matches.
    pub fn route(&mut self, route: &ids::RouteName) {
        self.note("route", route);
        self.route = Some(route.clone());
    }

    /// Records the choice of an endpoint for an attempt that begins now.
    pub fn chosen(&mut self, choice: &balance::Choice) {
        self.chosen = Some((choice.clone(), self.started_at.elapsed()));
    }

    /// Records the outcome of an attempt; `kind` is its label in the metrics.
    pub fn attempt(
        &mut self,
        endpoint: &ids::EndpointId,
        kind: &'static str,
        result: &dyn std::fmt::Display,
    ) {
        observe::metrics().record_direct_attempt(endpoint, kind);
        self.note_attempt(endpoint, result);
    }

    fn note_attempt(&mut self, endpoint: &ids::EndpointId, result: &dyn std::fmt::Display) {
        let at = self.started_at.elapsed().as_millis();
        let separator = if self.attempts.is_empty() { "" } else { "; " };
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{separator}{endpoint} {result} at {at} ms");
        if let Some((choice, sent)) = self.chosen.take() {
            let sent = sent.as_millis();
            let _ = write!(self.attempts, " [{choice}, sent at {sent} ms]");
        }
    }

    /// Records that the attempt in progress, if any, is abandoned.
    pub fn abandon(&mut self, reason: &'static str) {
        if let Some((choice, _)) = &self.chosen {
            let id = choice.endpoint.record.id.clone();
            self.attempt(&id, "abandoned", &reason);
        }
    }

    /// Records that a part of the answer is passed to the caller.
    pub fn record_part(&mut self) {
        let now = self.started_at.elapsed();
        self.first_part.get_or_insert(now);
        if let Some(last) = self.last_part.replace(now) {
            self.longest_pause = self.longest_pause.max(Some(now.saturating_sub(last)));
        }
    }

    /// Writes the log line and the metrics of the request. Only the first call has an
    /// effect.
    pub fn finish(&mut self, outcome: Outcome, status: u16) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if let Some(id) = self
            .chosen
            .as_ref()
            .map(|(choice, _)| choice.endpoint.record.id.clone())
        {
            self.note_attempt(&id, &"under way");
        }
        let total = self.started_at.elapsed();
        observe::metrics().record_direct_end(&observe::DirectRequestEnd {
            route: self.route.as_ref().map_or("", ids::RouteName::as_str),
            outcome: outcome.into(),
            status,
            first_byte: self.first_part,
            total,
        });
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(target: "request", request:% = self.id, outcome:% = outcome, status = status,
            first_ms = self.first_part.map(millis), pause_ms = self.longest_pause.map(millis), total_ms = millis(total), decided:% = self.summary,
            attempts:% = self.attempts; "request ended");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish(Outcome::CallerLeft, 0);
    }
}
