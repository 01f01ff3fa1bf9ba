//! Growing pauses between tries.

use std::time::Duration;

use smol::Timer;

/// Exponential backoff with jitter, so that many processes that lost the
/// same peer do not return at the same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Pauses from `first`, doubled each time, up to `max`.
    #[must_use]
    pub const fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            next: first,
        }
    }

    /// Starts again from the first pause after a success.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for the next pause, of which a random half is left out.
    pub async fn wait(&mut self) {
        let pause = self.next.mul_f64(0.5 + 0.5 * fastrand::f64());
        self.next = (self.next * 2).min(self.max);
        Timer::after(pause).await;
    }
}
