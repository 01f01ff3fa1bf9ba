//! Polling until a condition holds, with a time limit.

use std::time::{Duration, Instant};

/// Maximum time to wait; long, since CI machines may be overloaded.
const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it holds; panics with `what` after [`TIMEOUT`].
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {TIMEOUT:?}: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
