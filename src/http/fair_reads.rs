//! Reads that give other tasks a turn.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Bytes after which a reader that never has to wait is interrupted: more than the answer
/// of most requests.
const MAX_BYTES_PER_TURN: usize = 128 * 1_024;

/// A connection that interrupts its reader from time to time. `hyper` reads interim
/// responses in a loop, so a peer that sends them without end would keep the thread, and
/// no time limit would end the exchange.
#[derive(Debug)]
pub struct FairReads {
    tcp: TcpStream,
    /// Bytes that were read without waiting.
    read_bytes: usize,
}

impl FairReads {
    /// Wraps `tcp`.
    #[must_use]
    pub const fn new(tcp: TcpStream) -> Self {
        Self { tcp, read_bytes: 0 }
    }
}

impl AsyncRead for FairReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.read_bytes >= MAX_BYTES_PER_TURN {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.tcp).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(bytes)) => self.read_bytes += bytes,
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.read_bytes = 0,
        }
        read
    }
}

impl AsyncWrite for FairReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
