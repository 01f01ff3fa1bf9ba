//! Connections to the processes beside endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use quinn::{Connection, RecvStream, SendStream};
use smol::Task;

use crate::control;
use crate::feed;
use crate::fleet;
use crate::ids;
use crate::runtime;
use crate::wire;

/// First and longest pause between connection attempts.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

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
        let connection = self
            .shared
            .up
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(vm)
            .cloned();
        let connection = connection.ok_or_else(|| wire::WireError::Lost("not connected".into()))?;
        let (mut tx, rx) = connection.open_bi().await?;
        wire::write(&mut tx, opening).await?;
        Ok((tx, rx))
    }
}

impl Shared {
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

    fn set_up(&self, vm: &ids::VmName, connection: Connection) {
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
        while let Some(update) = wire::read(&mut rx).await? {
            match update {
                wire::Update::Hello(peer) => {
                    backoff.reset();
                    self.set_up(vm, connection.clone());
                    self.control.send(control::Event::LinkUp(peer)).await;
                }
                wire::Update::Report(report) => {
                    self.control
                        .send(control::Event::Report(vm.clone(), report))
                        .await;
                }
                other => log::debug!("peer: {vm} sent {other:?}."),
            }
        }
        Ok(())
    }
}
