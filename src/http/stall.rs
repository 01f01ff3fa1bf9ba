//! Time limits for peers that do not read, or do not complete the head of a request.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::http;
use crate::http::connection;

/// Time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct StallLimits {
    /// Time for which a peer may read nothing of what is written.
    pub write: Duration,
    /// Time from the first to the last byte of a head.
    pub head: Duration,
}

/// A connection that fails once the peer has accepted no bytes, or has not completed the
/// head of a request, in time. Without it, a caller that stops reading would keep its slot
/// at an endpoint. What is received counts in the table of connections.
#[derive(Debug)]
pub struct StallLimited {
    tcp: TcpStream,
    limits: StallLimits,
    connection: Arc<connection::Connection>,
    /// Number of bytes that the next read may receive.
    read_size: usize,
    /// Timer of the current stall; `None` unless a write is pending.
    write_timer: Option<Timer>,
    /// Begin of the current head and its timer; `None` unless more of a head is awaited.
    head_timer: Option<(Instant, Timer)>,
}

impl StallLimited {
    /// Wraps `tcp` with limits on the duration of stalls.
    #[must_use]
    pub const fn new(
        tcp: TcpStream,
        limits: StallLimits,
        connection: Arc<connection::Connection>,
    ) -> Self {
        Self {
            tcp,
            limits,
            connection,
            read_size: connection::Connection::first_read_size(),
            write_timer: None,
            head_timer: None,
        }
    }

    /// Returns `Pending` while the rest of a head may still arrive, or no head has begun.
    fn poll_head_time(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(began) = self.connection.await_head()? else {
            self.head_timer = None;
            return Poll::Pending;
        };
        let limit = self.limits.head;
        // A timer of the head before would end this one early.
        self.head_timer.take_if(|(of, _)| *of != began);
        let (_, timer) = self
            .head_timer
            .get_or_insert_with(|| (began, Timer::at(began + limit)));
        if Pin::new(timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.connection.record_close(http::CloseReason::HeadTime);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let size = buf.len().min(self.read_size);
        match Pin::new(&mut self.tcp).poll_read(cx, &mut buf[..size]) {
            Poll::Ready(Ok(n @ 1..)) => {
                self.read_size = self.connection.record_received(n);
                Poll::Ready(Ok(n))
            }
            Poll::Ready(end) => Poll::Ready(end),
            Poll::Pending => self.poll_head_time(cx),
        }
    }
}

impl AsyncWrite for StallLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.tcp).poll_write(cx, buf) {
            if self.write_timer.take().is_some() {
                self.connection.record_write(false);
            }
            return Poll::Ready(written);
        }
        if self.write_timer.is_none() {
            self.connection.record_write(true);
        }
        let limit = self.limits.write;
        let timer = self.write_timer.get_or_insert_with(|| Timer::after(limit));
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
