//! UDP proxy that injects faults into a link.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smol::net::UdpSocket;
use smol::{Task, Timer};

use crate::runtime;
use crate::standin::faults;

/// Largest possible UDP datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Extra delay of a datagram that later ones are to overtake.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// A running UDP proxy; dropping it stops forwarding.
#[derive(Debug)]
pub struct UdpProxy {
    addr: SocketAddr,
    link: faults::Link,
    cut_clients: CutClients,
    _receive: Task<()>,
}

/// Addresses of clients whose datagrams are dropped in both directions.
type CutClients = Arc<Mutex<HashSet<SocketAddr>>>;

impl UdpProxy {
    /// Receives on `listen` and forwards datagrams to `target`, from a separate
    /// socket per client.
    pub async fn bind(
        listen: SocketAddr,
        target: SocketAddr,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let addr = socket.local_addr()?;
        let link = faults::Link::default();
        let cut_clients = CutClients::default();
        let relay = Relay {
            socket,
            target,
            link: link.clone(),
            cut_clients: Arc::clone(&cut_clients),
            traffic: traffic.clone(),
            clients: HashMap::new(),
        };
        Ok(Self {
            addr,
            link,
            cut_clients,
            _receive: traffic.spawn(relay.run()),
        })
    }

    /// Returns the address on which the proxy receives.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults; datagrams already delayed are still sent.
    pub fn set(&self, faults: faults::Faults) {
        self.link.set(faults);
    }

    /// Replaces the set of clients that are cut off in both directions.
    pub fn cut_clients(&self, clients: impl IntoIterator<Item = SocketAddr>) {
        let mut cut = self
            .cut_clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *cut = clients.into_iter().collect();
    }
}

struct Relay {
    socket: UdpSocket,
    target: SocketAddr,
    link: faults::Link,
    cut_clients: CutClients,
    traffic: runtime::Traffic,
    clients: HashMap<SocketAddr, Client>,
}

/// The socket to the target on behalf of one client, and the task that relays replies.
struct Client {
    socket: UdpSocket,
    _replies: Task<()>,
}

impl Relay {
    async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // The error reports that an earlier datagram had no receiver.
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            let out = match self.client(from).await {
                Ok(client) => client.socket.clone(),
                Err(err) => {
                    log::warn!("standin: cannot open a UDP socket for client {from}: {err}.");
                    continue;
                }
            };
            let path = ForwardPath {
                socket: out,
                to: self.target,
                client: from,
                link: self.link.clone(),
                cut_clients: Arc::clone(&self.cut_clients),
                direction: faults::Direction::ToTarget,
            };
            path.forward(&buf[..len], &self.traffic).await;
        }
    }

    /// Returns the client at `from`; opens its socket to the target if it is new.
    async fn client(&mut self, from: SocketAddr) -> io::Result<&Client> {
        if !self.clients.contains_key(&from) {
            let socket = UdpSocket::bind(SocketAddr::new(self.target.ip(), 0)).await?;
            let path = ForwardPath {
                socket: self.socket.clone(),
                to: from,
                client: from,
                link: self.link.clone(),
                cut_clients: Arc::clone(&self.cut_clients),
                direction: faults::Direction::ToClient,
            };
            let replies = relay_replies(socket.clone(), path, self.traffic.clone());
            let client = Client {
                socket,
                _replies: self.traffic.spawn(replies),
            };
            self.clients.insert(from, client);
        }
        Ok(&self.clients[&from])
    }
}

/// Relays the target's replies to the client.
async fn relay_replies(socket: UdpSocket, path: ForwardPath, traffic: runtime::Traffic) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((len, _)) = socket.recv_from(&mut buf).await {
            path.forward(&buf[..len], &traffic).await;
        }
    }
}

/// The path of datagrams in one direction of one client.
#[derive(Clone)]
struct ForwardPath {
    socket: UdpSocket,
    to: SocketAddr,
    client: SocketAddr,
    link: faults::Link,
    cut_clients: CutClients,
    direction: faults::Direction,
}

impl ForwardPath {
    /// Forwards a datagram with the current faults applied to it.
    async fn forward(&self, datagram: &[u8], traffic: &runtime::Traffic) {
        let faults = self.link.faults();
        let is_cut_off = self
            .cut_clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&self.client);
        if is_cut_off || faults.is_cut(self.direction) {
            return;
        }
        let copies = 1 + usize::from(fastrand::f64() < faults.duplicate.get());
        let mut delay = faults.delay;
        if fastrand::f64() < faults.reorder.get() {
            delay += REORDER_DELAY;
        }
        for _ in 0..copies {
            if delay.is_zero() {
                self.send(datagram).await;
            } else {
                let (path, datagram) = (self.clone(), Arc::<[u8]>::from(datagram));
                let later = async move {
                    Timer::after(delay).await;
                    path.send(&datagram).await;
                };
                traffic.spawn(later).detach();
            }
        }
    }

    async fn send(&self, datagram: &[u8]) {
        if let Err(err) = self.socket.send_to(datagram, self.to).await {
            log::debug!("standin: cannot send datagram to {}: {err}", self.to);
        }
    }
}
