//! Adapter that runs the QUIC library's tasks on the traffic threads.

use std::future::Future;
use std::io;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use crate::runtime;

/// The QUIC library's `smol` runtime, except that tasks run on the traffic
/// threads; the library's own runs all tasks on one global thread.
#[derive(Debug)]
pub struct QuicRuntime {
    traffic: runtime::Traffic,
    bytes: Arc<runtime::PeerBytes>,
}

impl QuicRuntime {
    /// Creates a runtime on the given threads; its sockets add their bytes to `bytes`.
    #[must_use]
    pub const fn new(traffic: runtime::Traffic, bytes: Arc<runtime::PeerBytes>) -> Self {
        Self { traffic, bytes }
    }
}

impl quinn::Runtime for QuicRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn quinn::AsyncTimer>> {
        quinn::SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.traffic.spawn(future).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn quinn::AsyncUdpSocket>> {
        let socket = quinn::SmolRuntime.wrap_udp_socket(socket)?;
        let bytes = Arc::clone(&self.bytes);
        Ok(Arc::new(runtime::CountedSocket::new(socket, bytes)))
    }
}
