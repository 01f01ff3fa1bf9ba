//! Detection of overload by scheduling delay.

use std::time::Duration;

use crate::runtime;

/// Interval of the timer whose lateness is measured.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(100);
/// Lateness from which a timer counts as late: two thirds of the shortest usual latency
/// objective, 150 ms. With a processor to itself, a timer is only some milliseconds late.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(100);
/// Number of consecutive late timers that count as overload. A single one may come from a
/// process that was suspended and runs normally again.
const MIN_LATE_TIMERS: u32 = 2;
/// Time after the last late timer for which the overload holds: enough for two readiness
/// probes of the platform and for waiting work to finish.
const OVERLOAD_HOLD: Duration = Duration::from_secs(3);

/// Detects overload by consecutive late timers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    late_timers: u32,
    overloaded_until: runtime::Moment,
    /// Whether the process was overloaded at the last timer.
    was_overloaded: bool,
}

/// Change of the overload state at a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The state has not changed.
    None,
    /// The process has become overloaded: work waits for a processor.
    Started,
    /// The overload is over: timers have been in time for a while.
    Ended,
}

impl OverloadDetector {
    /// Records a timer that fired `lag` late, and returns the change of state.
    pub fn record_timer(&mut self, lag: Duration, now: runtime::Moment) -> Transition {
        self.late_timers = if lag < LATE_TIMER_THRESHOLD {
            0
        } else {
            self.late_timers + 1
        };
        if self.late_timers >= MIN_LATE_TIMERS {
            self.overloaded_until = now.saturating_add(OVERLOAD_HOLD);
        }
        let is_overloaded = self.is_overloaded(now);
        match (
            std::mem::replace(&mut self.was_overloaded, is_overloaded),
            is_overloaded,
        ) {
            (false, true) => Transition::Started,
            (true, false) => Transition::Ended,
            _ => Transition::None,
        }
    }

    /// Returns whether work waits so long for a processor that callers should use another
    /// entry.
    #[must_use]
    pub fn is_overloaded(&self, now: runtime::Moment) -> bool {
        now < self.overloaded_until
    }
}
