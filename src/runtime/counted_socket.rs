//! A UDP socket that counts the bytes it sends and receives.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

/// Counts the bytes exchanged with other processes of the system, without IP and UDP headers.
#[derive(Debug, Default)]
pub struct PeerBytes {
    sent: AtomicU64,
    received: AtomicU64,
}

impl PeerBytes {
    /// Returns the bytes sent since the socket was bound.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received since the socket was bound.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Wraps a UDP socket and counts its bytes.
#[derive(Debug)]
pub struct CountedSocket {
    inner: Arc<dyn AsyncUdpSocket>,
    bytes: Arc<PeerBytes>,
}

impl CountedSocket {
    /// Wraps `inner`; its bytes are added to `bytes`.
    #[must_use]
    pub fn new(inner: Arc<dyn AsyncUdpSocket>, bytes: Arc<PeerBytes>) -> Self {
        Self { inner, bytes }
    }
}

impl AsyncUdpSocket for CountedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit) -> io::Result<()> {
        self.inner.try_send(transmit)?;
        let len = transmit.contents.len() as u64;
        self.bytes.sent.fetch_add(len, Ordering::Relaxed);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let polled = self.inner.poll_recv(cx, bufs, meta);
        if let Poll::Ready(Ok(count)) = &polled {
            let len: usize = meta[..*count].iter().map(|meta| meta.len).sum();
            self.bytes.received.fetch_add(len as u64, Ordering::Relaxed);
        }
        polled
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
