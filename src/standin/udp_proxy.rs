//! Fault-injecting proxy for UDP.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smol::net::UdpSocket;
use smol::{Task, Timer};

use crate::runtime;
use crate::standin::faults;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_535;
/// Extra delay of a datagram that is overtaken by later ones.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// A running proxy; dropping it stops it.
#[derive(Debug)]
pub struct UdpProxy {
    addr: SocketAddr,
    link: faults::Link,
    cut_clients: CutClients,
    _receive: Task<()>,
}

/// Clients whose datagrams are dropped in both directions.
type CutClients = Arc<Mutex<HashSet<SocketAddr>>>;

impl UdpProxy {
    /// Receives on `listen` and passes datagrams on to `target`; each client
    /// has its own socket towards the target.
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

    /// The address on which the proxy receives.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the faults.
    pub fn set(&self, faults: faults::Faults) {
        self.link.set(faults);
    }

    /// Cuts these clients off, and no others.
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

/// The socket towards the target on behalf of one client.
struct Client {
    socket: UdpSocket,
    _answers: Task<()>,
}

impl Relay {
    async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            // An error reports an earlier datagram that had no receiver.
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            let out = match self.client(from).await {
                Ok(client) => client.socket.clone(),
                Err(err) => {
                    log::warn!("standin: no socket for {from}: {err}.");
                    continue;
                }
            };
            let way = Way {
                socket: out,
                to: self.target,
                client: from,
                link: self.link.clone(),
                cut_clients: Arc::clone(&self.cut_clients),
                direction: faults::Direction::ToTarget,
            };
            way.pass(&buf[..len], &self.traffic).await;
        }
    }

    async fn client(&mut self, from: SocketAddr) -> io::Result<&Client> {
        if !self.clients.contains_key(&from) {
            let socket = UdpSocket::bind(SocketAddr::new(self.target.ip(), 0)).await?;
            let way = Way {
                socket: self.socket.clone(),
                to: from,
                client: from,
                link: self.link.clone(),
                cut_clients: Arc::clone(&self.cut_clients),
                direction: faults::Direction::ToClient,
            };
            let answers = answers(socket.clone(), way, self.traffic.clone());
            let client = Client {
                socket,
                _answers: self.traffic.spawn(answers),
            };
            self.clients.insert(from, client);
        }
        Ok(&self.clients[&from])
    }
}

async fn answers(socket: UdpSocket, way: Way, traffic: runtime::Traffic) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        if let Ok((len, _)) = socket.recv_from(&mut buf).await {
            way.pass(&buf[..len], &traffic).await;
        }
    }
}

/// Where the datagrams of one direction go.
#[derive(Clone)]
struct Way {
    socket: UdpSocket,
    to: SocketAddr,
    client: SocketAddr,
    link: faults::Link,
    cut_clients: CutClients,
    direction: faults::Direction,
}

impl Way {
    async fn pass(&self, datagram: &[u8], traffic: &runtime::Traffic) {
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
                let (way, datagram) = (self.clone(), Arc::<[u8]>::from(datagram));
                let later = async move {
                    Timer::after(delay).await;
                    way.send(&datagram).await;
                };
                traffic.spawn(later).detach();
            }
        }
    }

    async fn send(&self, datagram: &[u8]) {
        if let Err(err) = self.socket.send_to(datagram, self.to).await {
            log::debug!("standin: datagram to {} lost: {err}", self.to);
        }
    }
}
