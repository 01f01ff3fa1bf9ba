//! The wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since 1970; zero where the clock stands before it.
#[must_use]
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
