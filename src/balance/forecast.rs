//! Expected times of an answer at one endpoint, as pure arithmetic.
//!
//! Load pattern: endpoints that differ in speed and in their queues, seen through reports
//! that are some time old.

use std::time::Duration;

/// Time constant with which the writing speed seen at one endpoint drifts to the usual one.
const WRITING_DRIFT: Duration = Duration::from_secs(3);

/// Returns the writing time at an endpoint relative to that of the service's engines. `seen` is
/// the mean gap between events there and its age, `service` that of the service, `usual` the
/// work time of the endpoint relative to its service.
#[must_use]
pub fn writing_factor(
    seen: Option<(Duration, Duration)>,
    service: Option<Duration>,
    usual: f64,
) -> f64 {
    let (Some((gap, age)), Some(service)) = (seen, service) else {
        return usual;
    };
    let kept = (-age.as_secs_f64() / WRITING_DRIFT.as_secs_f64()).exp();
    let now = gap.as_secs_f64() / service.as_secs_f64().max(1e-6);
    kept.mul_add(now - usual, usual)
}

/// Expected times from the send of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Until the endpoint begins to work on the request.
    pub wait: Duration,
    /// Until the first byte of the answer.
    pub first: Duration,
    /// Until the end of the answer.
    pub end: Duration,
}

/// A plain request at an endpoint that runs a fixed number of them at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainWork {
    /// Requests that are ahead, running or waiting.
    pub ahead: f64,
    /// Requests that run at once; 0 counts as 1.
    pub slots: u32,
    /// Time of one request there at the pace of this moment.
    pub work: Duration,
}

impl PlainWork {
    /// Forecasts the answer. Those ahead beyond the slots leave one by one, as slots become
    /// free.
    #[must_use]
    pub fn forecast(&self) -> Forecast {
        let slots = f64::from(self.slots.max(1));
        let queued = (self.ahead + 1.0 - slots).max(0.0);
        let wait = self.work.mul_f64(queued / slots);
        Forecast {
            wait,
            first: wait + self.work,
            end: wait + self.work,
        }
    }
}

/// A prompt at an engine, which reads it and then writes token by token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineWork {
    /// Until the engine begins to read.
    pub wait: Duration,
    /// Reading time at the engine's speed and pace.
    pub reading: Duration,
    /// Time from the first event to the last, as fast as this engine writes now.
    pub writing: Duration,
}

impl EngineWork {
    /// Forecasts the answer.
    #[must_use]
    pub fn forecast(&self) -> Forecast {
        let first = self.wait + self.reading;
        Forecast {
            wait: self.wait,
            first,
            end: first + self.writing,
        }
    }
}
