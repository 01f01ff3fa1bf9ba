//! The QUIC node of a process: one UDP socket for incoming and outgoing connections.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quinn::{
    AckFrequencyConfig, Connection, Endpoint, EndpointConfig, Incoming, TransportConfig, VarInt,
};
use socket2::SockRef;

use crate::ids;
use crate::runtime;
use crate::wire;

/// A connection without any packet for this long is considered lost. A failed
/// domain must receive no new work after 3 s, so the timeout must be shorter.
const IDLE_TIMEOUT_MS: u32 = 2_500;
/// Interval of keep-alive packets; three fit into the idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);
/// Limit of concurrent streams on one connection, which bounds the memory that
/// a peer can use. It exceeds the slots and the queue of an endpoint. The QUIC
/// library preallocates each stream: with 4,096, an idle connection took 0.37 MiB.
const MAX_STREAMS_PER_CONNECTION: u32 = 512;

/// Returns the DNS name that the certificate of the process on `vm` must have.
#[must_use]
pub fn server_name(vm: &ids::VmName) -> String {
    format!("{vm}.quetzalworks.internal")
}

/// Maximum delay of acknowledgements, which also delays the probe after a lost
/// last packet. The library's default of 25 ms is meant for wide-area links.
const MAX_ACK_DELAY: Duration = Duration::from_millis(2);
/// Number of packets that may be received before an acknowledgement is sent at once.
const ACK_THRESHOLD_PACKETS: u32 = 10;
/// Initial estimate of the round-trip time; failure domains are about 3 ms apart.
const INITIAL_RTT: Duration = Duration::from_millis(5);
/// Receive buffer of the socket; the operating system may grant less. With the
/// default of 208 KB, a burst of 2,700 requests per second lost packets, and
/// each loss delayed an answer by about 36 ms.
const RECEIVE_BUFFER_BYTES: usize = 2 * 1_024 * 1_024;

/// QUIC node of this process, which accepts and opens connections; clones share the socket.
#[derive(Clone, Debug)]
pub struct Node {
    endpoint: Endpoint,
    bytes: Arc<runtime::PeerBytes>,
}

impl Node {
    /// Binds the UDP socket to `addr`; errs if the address is in use or a certificate is invalid.
    pub fn bind(
        addr: SocketAddr,
        tls: &wire::TlsIdentity,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let invalid = |err: wire::TlsError| io::Error::new(io::ErrorKind::InvalidInput, err);
        let transport = Arc::new(transport());
        let mut server = tls.server().map_err(invalid)?;
        server.transport_config(Arc::clone(&transport));
        let mut client = tls.client().map_err(invalid)?;
        client.transport_config(transport);
        let socket = UdpSocket::bind(addr)?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let bytes = Arc::new(runtime::PeerBytes::default());
        let runtime = runtime::QuicRuntime::new(traffic.clone(), Arc::clone(&bytes));
        let runtime = Arc::new(runtime);
        let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint, bytes })
    }

    /// Returns the byte counters of the socket.
    #[must_use]
    pub fn bytes(&self) -> Arc<runtime::PeerBytes> {
        Arc::clone(&self.bytes)
    }

    /// Returns the local address of the socket, with the port that the system assigned.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Connects to the process on `vm` at `addr`; errs if its certificate is not issued to that VM.
    pub async fn connect(
        &self,
        vm: &ids::VmName,
        addr: SocketAddr,
    ) -> Result<Connection, wire::WireError> {
        let connecting = self
            .endpoint
            .connect(addr, &server_name(vm))
            .map_err(|err| wire::WireError::Lost(err.to_string().into()))?;
        Ok(connecting.await?)
    }

    /// Waits for the next incoming connection; `None` once the node is closed.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Closes all connections and accepts no more.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }

    /// Waits until all connections are closed and the peers have been notified.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(MAX_ACK_DELAY))
        .ack_eliciting_threshold(VarInt::from_u32(ACK_THRESHOLD_PACKETS));
    transport.ack_frequency_config(Some(acks));
    transport.initial_rtt(INITIAL_RTT);
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}
