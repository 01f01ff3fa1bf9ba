//! Rows of the tables of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::fleet;
use crate::ids;
use crate::platform_clients;

/// Time without activity after which a process counts as unresponsive; three
/// report intervals.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// An established connection to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Incarnation of the peer process.
    pub incarnation: ids::Incarnation,
    /// Time of the last activity of the peer on this connection.
    pub last_seen: Instant,
}

/// An endpoint and its sidecar.
#[derive(Clone, Debug)]
pub struct EndpointRow {
    /// VM on which the process runs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of the VM.
    pub region: ids::RegionName,
    /// Address of the sidecar.
    pub addr: SocketAddr,
    /// State of the VM in the platform's list.
    pub state: platform_clients::VmState,
    /// Connection to the process; `None` while it is not connected.
    pub link: Option<Link>,
    /// Last report from the sidecar; the default before the first.
    pub report: fleet::Report,
    /// Requests from this process that are running on the endpoint.
    pub in_flight: Arc<InFlightCounter>,
}

impl EndpointRow {
    /// Creates the row of a listed endpoint from which nothing was received yet.
    #[must_use]
    pub fn from_inventory(vm: &platform_clients::Vm) -> Self {
        Self {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
            region: vm.region.clone(),
            addr: vm.peer_addr,
            state: vm.state,
            link: None,
            report: fleet::Report::default(),
            in_flight: Arc::default(),
        }
    }
}

/// Another entry, as this process knows it.
#[derive(Clone, Debug)]
pub struct EntryRow {
    /// VM on which the process runs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of the VM.
    pub region: ids::RegionName,
    /// Address on which the entry accepts connections from other processes.
    pub addr: SocketAddr,
    /// State of the VM in the platform's list.
    pub state: platform_clients::VmState,
    /// Connection to the process; `None` while it is not connected.
    pub link: Option<Link>,
    /// The entry's own state, received from it or by gossip; `None` before the first.
    pub member: Option<fleet::Member>,
    /// Last `config` record that it has applied, as reported on its connection.
    pub config: Option<ids::Offset>,
    /// Last `control` record that it has applied, as reported on its connection.
    pub control: Option<ids::Offset>,
}

impl EntryRow {
    /// Creates the row of a listed entry from which nothing was received yet.
    #[must_use]
    pub fn from_inventory(vm: &platform_clients::Vm) -> Self {
        Self {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
            region: vm.region.clone(),
            addr: vm.peer_addr,
            state: vm.state,
            link: None,
            member: None,
            config: None,
            control: None,
        }
    }

    /// Returns the last `config` record that the entry's current incarnation is
    /// known to have applied; `None` if unknown. While the entry is connected,
    /// state of an earlier incarnation is ignored.
    #[must_use]
    pub fn applied_config(&self) -> Option<ids::Offset> {
        let member = self.member.as_ref();
        let Some(link) = &self.link else {
            return member.and_then(|member| member.config);
        };
        let reported = member
            .filter(|member| member.incarnation == link.incarnation)
            .and_then(|member| member.config);
        self.config.max(reported)
    }
}

/// Number of requests from this process running on an endpoint. Traffic threads
/// update it, so that routing sees this process's load before the next report.
#[derive(Debug, Default)]
pub struct InFlightCounter(AtomicU32);

impl InFlightCounter {
    /// Counts one request as running until the returned guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the number of requests running now.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Keeps one request counted as running; dropping it ends the count.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlightCounter>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
