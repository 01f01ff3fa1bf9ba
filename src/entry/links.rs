//! Connections of an entry to sidecars and to other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use quinn::{Connection, RecvStream, SendStream};
use smol::Task;
use smol::channel::{self, Sender};
use smol::future::FutureExt;

use crate::control;
use crate::entry::peers;
use crate::errors;
use crate::feed;
use crate::fleet;
use crate::ids;
use crate::runtime;
use crate::wire;

/// Minimum and maximum pause between connection attempts.
const RECONNECT_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Maximum number of updates queued for a connection; further ones are dropped.
const MAX_QUEUED_UPDATES: usize = 64;

/// Connections by VM. Each is maintained by a task of its own.
#[derive(Clone, Debug)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: fleet::Identity,
    node: wire::Node,
    control: control::Control,
    traffic: runtime::Traffic,
    connections: RwLock<HashMap<ids::VmName, Connection>>,
    update_queues: RwLock<HashMap<ids::VmName, Sender<wire::Update>>>,
    tasks: Mutex<HashMap<ids::VmName, Task<()>>>,
}

impl Links {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(
        identity: fleet::Identity,
        node: wire::Node,
        control: control::Control,
        traffic: runtime::Traffic,
    ) -> Self {
        let shared = Shared {
            identity,
            node,
            control,
            traffic,
            connections: RwLock::default(),
            update_queues: RwLock::default(),
            tasks: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Maintains a connection to the process on `vm` from now on, reconnecting with
    /// backoff until [`Self::disconnect`].
    pub fn connect(&self, vm: ids::VmName, addr: SocketAddr) {
        let task = self
            .shared
            .traffic
            .spawn(Arc::clone(&self.shared).maintain(vm.clone(), addr));
        self.shared
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm, task);
    }

    /// Closes the connection to the process on `vm` and stops reconnecting.
    pub fn disconnect(&self, vm: &ids::VmName) {
        self.shared
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(vm);
        self.shared
            .connections
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(vm);
    }

    /// Queues an update for the process on `vm` if it is connected. Updates may be lost:
    /// what a process lacks is sent again after its next report.
    pub fn send(&self, vm: &ids::VmName, update: wire::Update) {
        let update_queues = self
            .shared
            .update_queues
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = update_queues.get(vm)
            && sender.try_send(update).is_err()
        {
            log::debug!("peer: update to {vm} dropped: queue full or connection closed.");
        }
    }

    /// Returns whether the process on `vm` is connected.
    #[must_use]
    pub fn is_up(&self, vm: &ids::VmName) -> bool {
        self.shared
            .connections
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains_key(vm)
    }

    /// Opens a stream to the process on `vm` and sends `opening` on it. After an error
    /// the peer may still have received it.
    pub async fn open_stream(
        &self,
        vm: &ids::VmName,
        opening: &wire::StreamOpening,
    ) -> Result<(SendStream, RecvStream), wire::WireError> {
        let (mut tx, rx) = self.shared.connection(vm)?.open_bi().await?;
        wire::write(&mut tx, opening).await?;
        Ok((tx, rx))
    }

    /// Sends an order to the endpoint on `vm`, unless the lease has expired, and reports
    /// to the control thread whether the order was carried out.
    pub async fn deliver_order(
        &self,
        vm: ids::VmName,
        fence: ids::Fence,
        valid_until: Instant,
        action: fleet::OrderAction,
    ) {
        let sent = self
            .shared
            .send_order(&vm, fence, valid_until, action.clone());
        let done = match sent.await {
            Ok(()) => true,
            Err(err) => {
                log::warn!("placement: order to {vm} failed: {err}.");
                false
            }
        };
        let event = control::Event::OrderFinished { vm, action, done };
        self.shared.control.send(event).await;
    }
}

impl Shared {
    fn connection(&self, vm: &ids::VmName) -> Result<Connection, wire::WireError> {
        self.connections
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(vm)
            .cloned()
            .ok_or_else(|| wire::WireError::Lost("not connected".into()))
    }

    async fn send_order(
        &self,
        vm: &ids::VmName,
        fence: ids::Fence,
        valid_until: Instant,
        action: fleet::OrderAction,
    ) -> Result<(), wire::WireError> {
        let (mut tx, mut rx) = self.connection(vm)?.open_bi().await?;
        // This process may have been paused since the order was decided.
        if Instant::now() >= valid_until {
            return Err(wire::WireError::Lost(
                "lease expired before the order was sent".into(),
            ));
        }
        wire::write(&mut tx, &wire::StreamOpening::Order { fence, action }).await?;
        match wire::read::<Result<(), errors::Refusal>>(&mut rx).await? {
            Some(Ok(())) => Ok(()),
            Some(Err(refusal)) => Err(wire::WireError::Lost(refusal.to_string().into())),
            None => Err(wire::WireError::Lost(
                "stream closed without an answer to the order".into(),
            )),
        }
    }

    async fn maintain(self: Arc<Self>, vm: ids::VmName, addr: SocketAddr) {
        let mut backoff = feed::Backoff::new(RECONNECT_PAUSES.0, RECONNECT_PAUSES.1);
        loop {
            if let Err(err) = self.run_connection(&vm, addr, &mut backoff).await {
                log::debug!("peer: connection to {vm} lost or not established: {err}.");
            }
            if self
                .connections
                .write()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&vm)
                .is_some()
            {
                self.control
                    .send(control::Event::LinkDown(vm.clone()))
                    .await;
            }
            backoff.wait().await;
        }
    }

    fn register(&self, vm: &ids::VmName, connection: Connection, sender: Sender<wire::Update>) {
        self.update_queues
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm.clone(), sender);
        self.connections
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm.clone(), connection);
    }

    async fn run_connection(
        &self,
        vm: &ids::VmName,
        addr: SocketAddr,
        backoff: &mut feed::Backoff,
    ) -> Result<(), wire::WireError> {
        let connection = self.node.connect(vm, addr).await?;
        let (mut tx, mut rx) = connection.open_bi().await?;
        wire::write(&mut tx, &wire::StreamOpening::Hello(self.identity.clone())).await?;
        let (sender, updates) = channel::bounded::<wire::Update>(MAX_QUEUED_UPDATES);
        let receive = async {
            while let Some(update) = wire::read(&mut rx).await? {
                if let wire::Update::Hello(peer) = update {
                    backoff.reset();
                    self.register(vm, connection.clone(), sender.clone());
                    self.control.send(control::Event::LinkUp(peer)).await;
                } else {
                    peers::take(&self.control, vm, update).await;
                }
            }
            Ok(())
        };
        let send = async {
            while let Ok(update) = updates.recv().await {
                wire::write(&mut tx, &update).await?;
            }
            Ok(())
        };
        receive.or(send).await
    }
}
