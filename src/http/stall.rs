//! Ends connections whose peer takes nothing of the answer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A connection whose writes fail once the peer has taken nothing for `limit`.
/// Without it a caller that stops reading would hold its place at an endpoint.
#[derive(Debug)]
pub struct StallLimited {
    tcp: TcpStream,
    limit: Duration,
    /// Runs while a write waits.
    stalled: Option<Timer>,
}

impl StallLimited {
    /// Limits the stalls of a connection.
    #[must_use]
    pub const fn new(tcp: TcpStream, limit: Duration) -> Self {
        Self {
            tcp,
            limit,
            stalled: None,
        }
    }
}

impl AsyncRead for StallLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.tcp).poll_write(cx, buf) {
            self.stalled = None;
            return Poll::Ready(written);
        }
        let limit = self.limit;
        let timer = self.stalled.get_or_insert_with(|| Timer::after(limit));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
