//! A running process in the role of an entry or a sidecar.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use crate::daemon;
use crate::entry;
use crate::fleet;
use crate::ids;
use crate::observe;
use crate::runtime;
use crate::settings;
use crate::sidecar;
use crate::wire;

/// A running process with its operations server; dropping it ends its tasks.
#[derive(Debug)]
pub struct Process {
    role: Role,
    operations: observe::Operations,
}

/// The running role of a process.
#[derive(Debug)]
enum Role {
    Entry(entry::Entry),
    Sidecar(sidecar::Sidecar),
}

impl Process {
    /// Starts the role that the settings name. Fails where the certificates are
    /// not usable or a thread or socket cannot be created.
    pub async fn spawn(settings: &settings::Settings) -> Result<Self, daemon::StartError> {
        let traffic = runtime::Traffic::spawn_threads(settings.traffic_threads)?;
        let tls = wire::TlsIdentity::open(&settings.tls)?;
        let node = wire::Node::bind(settings.peer_addr, &tls, &traffic)?;
        observe::metrics().register_peer_bytes(&settings.vm, node.bytes());
        let identity = identity(settings);
        log::info!(
            "control: {} {} starts, incarnation {}.",
            identity.role,
            identity.vm,
            identity.incarnation
        );
        let (role, control) = match &settings.role {
            settings::Role::Entry(cfg) => {
                let entry =
                    entry::Entry::spawn(settings, cfg, identity, node, traffic.clone()).await?;
                let control = entry.cx().control.clone();
                (Role::Entry(entry), control)
            }
            settings::Role::Sidecar(cfg) => {
                let sidecar = sidecar::Sidecar::spawn(settings, cfg, identity, node, &traffic)?;
                let control = sidecar.cx().control.clone();
                (Role::Sidecar(sidecar), control)
            }
        };
        let addr = settings.operations_addr;
        let operations = observe::Operations::bind(addr, &settings.vm, control, &traffic).await?;
        Ok(Self { role, operations })
    }

    /// Performs a planned stop; accepted requests have until `deadline` to finish.
    pub async fn stop(&self, deadline: Instant) {
        self.operations.begin_stop();
        match &self.role {
            Role::Entry(entry) => entry.stop(deadline).await,
            Role::Sidecar(sidecar) => sidecar.stop(deadline).await,
        }
    }

    /// Returns the address for callers; `None` where the process is not an entry.
    #[must_use]
    pub const fn callers_addr(&self) -> Option<SocketAddr> {
        match &self.role {
            Role::Entry(entry) => Some(entry.callers_addr()),
            Role::Sidecar(_) => None,
        }
    }

    /// Returns the address for health, readiness and metrics.
    #[must_use]
    pub const fn operations_addr(&self) -> SocketAddr {
        self.operations.addr()
    }
}

fn identity(settings: &settings::Settings) -> fleet::Identity {
    fleet::Identity {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation: ids::Incarnation::at_start(runtime::since_epoch()),
        role: match settings.role {
            settings::Role::Entry(_) => fleet::NodeRole::Entry,
            settings::Role::Sidecar(_) => fleet::NodeRole::Sidecar,
        },
    }
}

impl From<io::Error> for daemon::StartError {
    fn from(err: io::Error) -> Self {
        Self::Io(err.to_string().into())
    }
}
