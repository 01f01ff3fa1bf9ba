//! Keeps the pace of one endpoint, the permits while its rate is limited, and the last change.

use std::time::Duration;

use crate::balance;
use crate::balance::pace;
use crate::ids;
use crate::runtime;
use crate::units;

/// First suspension of a failing endpoint; doubles with each further one.
const INITIAL_SUSPENSION: Duration = Duration::from_millis(500);
/// Maximum suspension, so that a recovered endpoint is soon in use again.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
/// Time since a failure last closed the endpoint, after which a further one counts as the
/// first.
const STRIKE_MEMORY: Duration = Duration::from_secs(10);
/// Least limit that counts, in requests per second: only a request finds out whether an
/// endpoint that wants none has changed its mind.
const MIN_NAMED_LIMIT: f64 = 0.1;
/// Longest pause that is granted; a longer one is a mistake of the endpoint.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

/// What an endpoint says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// It leaves and wants no further request.
    Leave,
    /// It wants no request for so long.
    Pause(Duration),
}

/// Pace of one endpoint, with what it remembers between events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    pace: pace::AnyPace,
    /// Bounds at the last question.
    bounds: pace::Bounds,
    /// Failures in sequence that closed the endpoint.
    strikes: u32,
    /// When the endpoint was last closed by a failure; `None` before.
    failed_at: Option<runtime::Moment>,
    /// Until when the endpoint counts as cold, as it may have restarted after a failure.
    cold_until: runtime::Moment,
    /// End of the cold span for which the limit has begun, as last known.
    limited_until: runtime::Moment,
    permits: pace::Permits,
    /// Requests per second that the endpoint takes from all entries together; `None` if it
    /// names no limit.
    named_limit: Option<units::Rate>,
    /// Last change that has not been taken for the log.
    change: Option<pace::Change>,
}

impl Pacer {
    /// Checks whether the endpoint takes another request of this entry.
    pub fn admission(
        &mut self,
        bounds: pace::Bounds,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> pace::Admission {
        self.bounds = bounds;
        self.advance(observed, now);
        self.pace.admission(observed, now)
    }

    /// Returns how long a request to the endpoint has to wait for a permit; `None` if none
    /// is allowed. Requests are limited while the endpoint is cold, by its record or after a
    /// failure, where cold endpoints have a limit, and while it names one.
    pub fn permit_delay(
        &mut self,
        endpoint: &ids::EndpointId,
        cold_until: runtime::Moment,
        rates: &pace::SharedRates,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Option<Duration> {
        let cold = self.cold_rate(cold_until, rates, observed, now);
        let limits = [cold, self.named_limit].into_iter().flatten();
        let Some(rate) = limits.min_by(|a, b| a.get().total_cmp(&b.get())) else {
            self.permits.lift();
            return Some(Duration::ZERO);
        };
        self.permits.delay(rate, rates, endpoint, now)
    }

    /// Records the limit that the endpoint names for all entries; `None` if it names none.
    /// Returns whether that is new.
    pub fn name_limit(&mut self, limit: Option<units::Rate>) -> bool {
        let limit = limit.map(|limit| units::Rate::clamped(limit.get().max(MIN_NAMED_LIMIT)));
        let before = std::mem::replace(&mut self.named_limit, limit);
        before != limit
    }

    /// Returns the limit that the endpoint names for all entries; `None` if it names none.
    #[must_use]
    pub const fn named_limit(&self) -> Option<units::Rate> {
        self.named_limit
    }

    /// Returns the rate over all entries while the endpoint is cold; `None` without one.
    fn cold_rate(
        &mut self,
        cold_until: runtime::Moment,
        rates: &pace::SharedRates,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Option<units::Rate> {
        let rate = rates.cold?;
        let cold_until = cold_until.max(self.cold_until);
        if cold_until <= now {
            return None;
        }
        // An endpoint that has proven its pace keeps it, although the span still lasts.
        if self.limited_until <= now {
            let pace = self.pace.start(&self.bounds, observed);
            self.set(pace, pace::Cause::Cold, None);
        }
        self.limited_until = cold_until;
        Some(rate)
    }

    /// Records that a request is about to be sent.
    pub fn send(&mut self, observed: &pace::Observed, now: runtime::Moment) {
        self.permits.take();
        self.advance(observed, now);
        self.pace = self.pace.send(now);
    }

    /// Records that the caller of a request sent at a time has left before its answer began.
    pub fn give_up(&mut self, sent: runtime::Moment) {
        self.pace = self.pace.give_up(sent);
    }

    /// Records that the endpoint has started or returned, and has to find its pace.
    pub fn start(&mut self, bounds: pace::Bounds, observed: &pace::Observed) {
        self.bounds = bounds;
        let pace = self.pace.start(&self.bounds, observed);
        self.set(pace, pace::Cause::Started, None);
    }

    /// Records that the endpoint wants no requests for a time. Returns whether that is new.
    pub fn pause(&mut self, pause: Duration, now: runtime::Moment) -> bool {
        let until = now.saturating_add(pause.min(MAX_PAUSE));
        self.set(self.pace.pause(until), pace::Cause::Asked, None)
    }

    /// Records that the endpoint leaves. Returns whether that is new.
    pub fn leave(&mut self) -> bool {
        self.set(self.pace.leave(), pace::Cause::Left, None)
    }

    /// Records that an answer has begun.
    pub fn answer(&mut self, answer: &pace::Answer, observed: &pace::Observed) {
        let (pace, cause) = self.pace.answer(answer, &self.bounds, observed);
        self.set(pace, cause, Some(answer.wait));
    }

    /// Records a failed attempt. `is_failing` tells whether most attempts fail; `cold` is
    /// how long the endpoint is cold if it has restarted.
    pub fn fail(
        &mut self,
        failure: balance::Failure,
        is_failing: bool,
        cold: Duration,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) {
        use balance::Failure;
        let is_refusal = failure == Failure::Refused;
        if !matches!(
            failure,
            Failure::Answered | Failure::Misdirected | Failure::Refused
        ) {
            self.cold_until = now.saturating_add(cold);
            self.limited_until = runtime::Moment::default();
        }
        let (trouble, cause) = match failure {
            Failure::Refused => (pace::Trouble::Refused, pace::Cause::Refused),
            Failure::Unreachable | Failure::Silent => (pace::Trouble::Down, pace::Cause::Silent),
            Failure::Misdirected => (pace::Trouble::Down, pace::Cause::Failed),
            Failure::Broken | Failure::Answered if is_failing => {
                (pace::Trouble::Down, pace::Cause::Failed)
            }
            Failure::Broken | Failure::Answered => (pace::Trouble::Fault, pace::Cause::Failed),
        };
        self.advance(observed, now);
        let is_recent = |at: runtime::Moment| now.saturating_since(at) < STRIKE_MEMORY;
        let strikes = match self.failed_at.filter(|at| is_recent(*at)) {
            Some(_) if is_refusal => self.strikes,
            Some(_) => self.strikes.saturating_add(1),
            None => 0,
        };
        let doubled = INITIAL_SUSPENSION * 2_u32.saturating_pow(strikes.min(4));
        let until = now.saturating_add(doubled.min(MAX_SUSPENSION));
        let before = pace::Stage::from(self.pace);
        let pace = self.pace.fail(trouble, until, &self.bounds, observed, now);
        if before != pace::Stage::Closed && pace::Stage::from(pace) == pace::Stage::Closed {
            self.strikes = strikes;
            self.failed_at = Some(now);
        }
        self.set(pace, cause, None);
    }

    /// Returns the wait to expect, where the last answers took `wait`.
    #[must_use]
    pub fn wait(
        &self,
        wait: Duration,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Duration {
        self.pace.wait(wait, observed, now)
    }

    /// Whether the limit rises with the answers.
    #[must_use]
    pub fn is_rising(&self) -> bool {
        pace::Stage::from(self.pace) == pace::Stage::Rising
    }

    /// Whether a request finds out whether the endpoint works again.
    #[must_use]
    pub fn is_probing(&self) -> bool {
        pace::Stage::from(self.pace) == pace::Stage::Probing
    }

    /// Takes the last change for the log; `None` if there is none since the last call.
    pub const fn take_change(&mut self) -> Option<pace::Change> {
        self.change.take()
    }

    fn advance(&mut self, observed: &pace::Observed, now: runtime::Moment) {
        let pace = self.pace.advance(&self.bounds, observed, now);
        self.set(pace, pace::Cause::Due, None);
    }

    /// Replaces the state. Within a stage only the first late answer in sequence and a lower
    /// limit are changes for the log.
    fn set(&mut self, pace: pace::AnyPace, cause: pace::Cause, wait: Option<Duration>) -> bool {
        let before = std::mem::replace(&mut self.pace, pace);
        if before == pace {
            return false;
        }
        let from = pace::Stage::from(before);
        let to = pace::Stage::from(pace);
        let has_fallen = pace.limit() < before.limit();
        let is_held = pace.is_held() && !before.is_held();
        if from != to || has_fallen || is_held {
            let from = self.change.map_or(from, |unread| unread.from);
            self.change = Some(pace::Change {
                from,
                to,
                cause,
                limit: pace.limit(),
                usual: pace.usual().or(before.usual()),
                wait,
                strikes: self.strikes,
                bounds: self.bounds,
            });
        }
        true
    }
}
