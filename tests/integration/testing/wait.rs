//! Waiting for conditions.

use std::time::{Duration, Instant};

/// Generous, since CI machines are busy.
const LIMIT: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not reached in {LIMIT:?}: {what}"
        );
        std::thread::sleep(PAUSE);
    }
}
