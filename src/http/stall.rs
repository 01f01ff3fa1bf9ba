//! Time limit for writes to peers that do not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A connection whose writes fail once the peer has accepted no bytes for `limit`.
/// Without it, a caller that stops reading would keep its slot at an endpoint.
#[derive(Debug)]
pub struct StallLimited {
    tcp: TcpStream,
    limit: Duration,
    /// Timer of the current stall; `None` unless a write is pending.
    stall_timer: Option<Timer>,
}

impl StallLimited {
    /// Wraps `tcp` with a limit on the duration of a stall.
    #[must_use]
    pub const fn new(tcp: TcpStream, limit: Duration) -> Self {
        Self {
            tcp,
            limit,
            stall_timer: None,
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
            self.stall_timer = None;
            return Poll::Ready(written);
        }
        let limit = self.limit;
        let timer = self.stall_timer.get_or_insert_with(|| Timer::after(limit));
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
