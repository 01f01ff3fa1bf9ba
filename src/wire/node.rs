//! The UDP socket of a process, for connections in both directions.

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

/// A connection without any packet for this long is lost. Three seconds is
/// the bound for the last new work in a failed domain, so it must be less.
const IDLE_TIMEOUT_MS: u32 = 2_500;
/// Interval of keep-alive packets; three fit into the idle timeout.
const KEEP_ALIVE: Duration = Duration::from_millis(800);
/// Concurrent streams of one connection; bounds the memory that a peer can use.
/// More than the places and the queue of an endpoint. The QUIC library reserves
/// a place for each: with 4,096 an idle connection took 0.37 MiB.
const MAX_STREAMS: u32 = 512;

/// The name in the certificate of a VM.
#[must_use]
pub fn server_name(vm: &ids::VmName) -> String {
    format!("{vm}.quetzalworks.internal")
}

/// Delay of acknowledgements; the probe after a lost last packet waits for it.
/// The library's 25 ms is meant for wide-area links.
const MAX_ACK_DELAY: Duration = Duration::from_millis(2);
/// Packets that may come before an acknowledgement is due at once.
const ACK_THRESHOLD: u32 = 10;
/// First estimate of the round trip; domains are about 3 ms apart.
const INITIAL_RTT: Duration = Duration::from_millis(5);
/// Receive buffer of the socket; the system may grant less. With the default
/// of 208 KB a burst of 2,700 requests a second lost packets, and each loss
/// delayed an answer by about 36 ms.
const RECEIVE_BUFFER: usize = 2 * 1_024 * 1_024;

/// The endpoint of this process for other processes.
#[derive(Clone, Debug)]
pub struct Node {
    endpoint: Endpoint,
    bytes: Arc<runtime::PeerBytes>,
}

impl Node {
    /// Binds the socket.
    pub fn bind(addr: SocketAddr, tls: &wire::Tls, traffic: &runtime::Traffic) -> io::Result<Self> {
        let invalid = |err: wire::TlsError| io::Error::new(io::ErrorKind::InvalidInput, err);
        let transport = Arc::new(transport());
        let mut server = tls.server().map_err(invalid)?;
        server.transport_config(Arc::clone(&transport));
        let mut client = tls.client().map_err(invalid)?;
        client.transport_config(transport);
        let socket = UdpSocket::bind(addr)?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER)?;
        let bytes = Arc::new(runtime::PeerBytes::default());
        let runtime = runtime::QuicRuntime::new(traffic.clone(), Arc::clone(&bytes));
        let runtime = Arc::new(runtime);
        let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint, bytes })
    }

    /// Bytes that the socket has carried.
    #[must_use]
    pub fn bytes(&self) -> Arc<runtime::PeerBytes> {
        Arc::clone(&self.bytes)
    }

    /// The address that is bound.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Connects to the process on `vm`; its certificate must be for that VM.
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

    /// Waits for the next connection of another process; `None` once closed.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }

    /// Waits until the peers have been told of the close.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(MAX_ACK_DELAY))
        .ack_eliciting_threshold(VarInt::from_u32(ACK_THRESHOLD));
    transport.ack_frequency_config(Some(acks));
    transport.initial_rtt(INITIAL_RTT);
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}
