//! Time limits on futures.

use std::future::Future;
use std::time::Instant;

use smol::Timer;
use smol::future::FutureExt;

/// The result of `future`, or `None` where `deadline` passes first.
pub async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    async { Some(future.await) }
        .or(async {
            Timer::at(deadline).await;
            None
        })
        .await
}
