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
}

impl Strain {
    /// A timer was late by `lag`. Returns whether the strain begins with it.
    pub fn timer(&mut self, lag: Duration, now: runtime::Moment) -> bool {
        if lag < LATE {
            self.late_timers = 0;
            return false;
        }
        self.late_timers += 1;
        if self.late_timers < LATE_TIMERS {
            return false;
        }
        let begins = !self.is_on(now);
        self.until = now.after(HOLD);
        begins
    }

    /// Whether work waits so long for the processor that callers should go elsewhere.
    #[must_use]
    pub fn is_on(&self, now: runtime::Moment) -> bool {
        now < self.until
    }
}
