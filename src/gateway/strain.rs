//! Whether this process gets to its work in time.

use std::time::Duration;

use crate::runtime;

/// Interval at which a timer shows how late work begins.
pub const INTERVAL: Duration = Duration::from_millis(100);
/// Lateness of a timer that is too late: two thirds of the shortest usual
/// objective, of 150 ms. With a processor to itself a timer is late by some
/// milliseconds.
const LATE: Duration = Duration::from_millis(100);
/// Late timers in a row that are no chance: one alone may be a process that
/// was stopped for a moment and runs as before.
const LATE_TIMERS: u32 = 2;
/// Time for which callers are sent elsewhere after the last of them, enough
/// for the platform to ask for the readiness twice and for waiting work to end.
const HOLD: Duration = Duration::from_secs(3);

/// Lateness of the timers of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Strain {
    late_timers: u32,
    until: runtime::Moment,
    /// Whether it was on at the last timer.
    was_on: bool,
}

/// What a timer has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// Work waits for the processor from now on.
    Begins,
    /// It has begun in time for a while.
    Ends,
}

impl Strain {
    /// A timer was late by `lag`.
    pub fn timer(&mut self, lag: Duration, now: runtime::Moment) -> Change {
        self.late_timers = if lag < LATE { 0 } else { self.late_timers + 1 };
        if self.late_timers >= LATE_TIMERS {
            self.until = now.after(HOLD);
        }
        let is_on = self.is_on(now);
        match (std::mem::replace(&mut self.was_on, is_on), is_on) {
            (false, true) => Change::Begins,
            (true, false) => Change::Ends,
            _ => Change::None,
        }
    }

    /// Whether work waits so long for the processor that callers should go elsewhere.
    #[must_use]
    pub fn is_on(&self, now: runtime::Moment) -> bool {
        now < self.until
    }
}
