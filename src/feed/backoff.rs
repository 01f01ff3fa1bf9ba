//! Exponential backoff between retries.

use std::time::Duration;

use smol::Timer;

/// Exponential backoff with jitter, so that many processes that lost the same
/// peer do not reconnect at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose pauses start at `first` and double up to `max`.
    #[must_use]
    pub const fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            next: first,
        }
    }

    /// Resets the next pause to the first one; called after a success.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for a random 50 to 100 % of the next pause, and doubles the pause for
    /// the next call.
    pub async fn wait(&mut self) {
        let pause = self.next.mul_f64(0.5 + 0.5 * fastrand::f64());
        self.next = (self.next * 2).min(self.max);
        Timer::after(pause).await;
    }
}
