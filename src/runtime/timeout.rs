//! Time limits for futures.

use std::future::Future;
use std::time::Instant;

use smol::Timer;
use smol::future::FutureExt;

/// Returns the result of `future`, or drops it and returns `None` once `deadline` has passed.
pub async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    async { Some(future.await) }
        .or(async {
            Timer::at(deadline).await;
            None
        })
        .await
}
