//! Wall-clock time, for records and log lines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch; zero if the clock is set before it.
#[must_use]
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
