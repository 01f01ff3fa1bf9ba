//! Rows of processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::fleet;
use crate::ids;
use crate::services;

/// Silence after which a process counts as unresponsive: three report intervals.
pub const SILENCE: Duration = Duration::from_secs(3);

/// A live connection to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// The run of the process at the other side.
    pub incarnation: ids::Incarnation,
    /// When it was last heard from.
    pub heard: Instant,
}

/// An endpoint with the process beside it.
#[derive(Clone, Debug)]
pub struct EndpointRow {
    /// Its VM.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
    /// Address of the process beside it.
    pub addr: SocketAddr,
    /// State in the platform's list.
    pub state: services::VmState,
    /// The connection, where there is one.
    pub link: Option<Link>,
    /// The last report.
    pub report: fleet::Report,
    /// Requests of this process that run there.
    pub in_flight: Arc<InFlight>,
}

impl EndpointRow {
    /// A listed endpoint that has not been heard of yet.
    #[must_use]
    pub fn unheard(vm: &services::Vm) -> Self {
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

/// Another entry.
#[derive(Clone, Debug)]
pub struct EntryRow {
    /// Its VM.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
    /// Its address for other processes.
    pub addr: SocketAddr,
    /// State in the platform's list.
    pub state: services::VmState,
    /// The connection, where there is one.
    pub link: Option<Link>,
    /// What it has last told of itself, directly or through others.
    pub member: Option<fleet::Member>,
    /// Last `config` record that it has applied, as told on its connection.
    pub config: Option<ids::Offset>,
    /// Last `control` record that it has applied, as told on its connection.
    pub control: Option<ids::Offset>,
}

impl EntryRow {
    /// A listed entry that has not been heard of yet.
    #[must_use]
    pub fn unheard(vm: &services::Vm) -> Self {
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

    /// The last `config` record that the present run of the entry is known to
    /// have applied. What an earlier run had in force says nothing of this one.
    #[must_use]
    pub fn in_force(&self) -> Option<ids::Offset> {
        let member = self.member.as_ref();
        let Some(link) = &self.link else {
            return member.and_then(|member| member.config);
        };
        let told = member
            .filter(|member| member.incarnation == link.incarnation)
            .and_then(|member| member.config);
        self.config.max(told)
    }
}

/// Requests of this process that run on an endpoint. Traffic threads count,
/// so that routing sees its own load before the next report.
#[derive(Debug, Default)]
pub struct InFlight(AtomicU32);

impl InFlight {
    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Requests that run now.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a request while it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlight>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
