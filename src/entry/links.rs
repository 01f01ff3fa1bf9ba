//! Connections to the processes beside endpoints.

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

/// First and longest pause between connection attempts.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Updates that may wait for a connection; more are dropped.
const MAX_WAITING: usize = 64;

/// Connections by VM. Each is kept up by a task of its own.
#[derive(Clone, Debug)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    me: fleet::Identity,
    node: wire::Node,
    control: control::Control,
    traffic: runtime::Traffic,
    up: RwLock<HashMap<ids::VmName, Connection>>,
    senders: RwLock<HashMap<ids::VmName, Sender<wire::Update>>>,
    tasks: Mutex<HashMap<ids::VmName, Task<()>>>,
}

impl Links {
    /// No connections yet.
    #[must_use]
    pub fn new(
        me: fleet::Identity,
        node: wire::Node,
        control: control::Control,
        traffic: runtime::Traffic,
    ) -> Self {
        let shared = Shared {
            me,
            node,
            control,
            traffic,
            up: RwLock::default(),
            senders: RwLock::default(),
            tasks: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Keeps a connection to the process on `vm` from now on.
    pub fn connect(&self, vm: ids::VmName, addr: SocketAddr) {
        let task = self
            .shared
            .traffic
            .spawn(Arc::clone(&self.shared).keep(vm.clone(), addr));
        self.shared
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm, task);
    }

    /// Gives the connection up.
    pub fn disconnect(&self, vm: &ids::VmName) {
        self.shared
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(vm);
        self.shared
            .up
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(vm);
    }

    /// Tells the process on `vm`, where it is connected. Updates may be lost:
    /// what a process lacks is sent again after its next report.
    pub fn send(&self, vm: &ids::VmName, update: wire::Update) {
        let senders = self
            .shared
            .senders
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = senders.get(vm)
            && sender.try_send(update).is_err()
        {
            log::debug!("peer: {vm} takes no more updates now.");
        }
    }

    /// Whether there is a connection to the process on `vm`.
    #[must_use]
    pub fn is_up(&self, vm: &ids::VmName) -> bool {
        self.shared
            .up
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains_key(vm)
    }

    /// Opens a stream to the process on `vm`.
    pub async fn open(
        &self,
        vm: &ids::VmName,
        opening: &wire::Opening,
    ) -> Result<(SendStream, RecvStream), wire::WireError> {
        let (mut tx, rx) = self.shared.connection(vm)?.open_bi().await?;
        wire::write(&mut tx, opening).await?;
        Ok((tx, rx))
    }

    /// Gives an order to the endpoint on `vm`, unless the lease has run out,
    /// and tells the control thread what came of it.
    pub async fn order(
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
                log::warn!("placement: order to {vm}: {err}.");
                false
            }
        };
        let event = control::Event::Ordered { vm, action, done };
        self.shared.control.send(event).await;
    }
}

impl Shared {
    fn connection(&self, vm: &ids::VmName) -> Result<Connection, wire::WireError> {
        self.up
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
        // The process may have been paused since the order was decided.
        if Instant::now() >= valid_until {
            return Err(wire::WireError::Lost("the lease has run out".into()));
        }
        wire::write(&mut tx, &wire::Opening::Order { fence, action }).await?;
        match wire::read::<Result<(), errors::Refusal>>(&mut rx).await? {
            Some(Ok(())) => Ok(()),
            Some(Err(refusal)) => Err(wire::WireError::Lost(refusal.to_string().into())),
            None => Err(wire::WireError::Lost("no answer".into())),
        }
    }

    async fn keep(self: Arc<Self>, vm: ids::VmName, addr: SocketAddr) {
        let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
        loop {
            if let Err(err) = self.session(&vm, addr, &mut backoff).await {
                log::debug!("peer: {vm}: {err}.");
            }
            if self
                .up
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

    fn set_up(&self, vm: &ids::VmName, connection: Connection, sender: Sender<wire::Update>) {
        self.senders
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm.clone(), sender);
        self.up
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(vm.clone(), connection);
    }

    async fn session(
        &self,
        vm: &ids::VmName,
        addr: SocketAddr,
        backoff: &mut feed::Backoff,
    ) -> Result<(), wire::WireError> {
        let connection = self.node.connect(vm, addr).await?;
        let (mut tx, mut rx) = connection.open_bi().await?;
        wire::write(&mut tx, &wire::Opening::Hello(self.me.clone())).await?;
        let (sender, updates) = channel::bounded::<wire::Update>(MAX_WAITING);
        let receive = async {
            while let Some(update) = wire::read(&mut rx).await? {
                if let wire::Update::Hello(peer) = update {
                    backoff.reset();
                    self.set_up(vm, connection.clone(), sender.clone());
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
