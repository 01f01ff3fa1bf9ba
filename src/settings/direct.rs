//! Settings of an entry that calls endpoints itself.

use std::net::SocketAddr;

use crate::ids;
use crate::units;

/// Settings of a direct entry, resolved and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Direct {
    /// The VM on which the process runs.
    pub vm: ids::VmName,
    /// The failure domain of the VM.
    pub domain: ids::DomainName,
    /// Failure domains of the deployment.
    pub domains: Vec<ids::DomainName>,
    /// Address for callers (TCP).
    pub callers_addr: SocketAddr,
    /// Address on which readiness is asked for (TCP).
    pub readiness_addr: SocketAddr,
    /// Address for metrics (TCP); `None` where they are not served.
    pub metrics_addr: Option<SocketAddr>,
    /// Address of the metadata store (TCP).
    pub store_addr: SocketAddr,
    /// Descriptors that the process may have open.
    pub max_descriptors: u32,
    /// Bounds that the operators of the deployment state.
    pub bounds: Bounds,
}

/// Entries for each failure domain among which what endpoints bear is divided.
/// Entries know nothing of each other; with fewer of them some of it is unused.
const ENTRIES_PER_DOMAIN: u32 = 2;

impl Direct {
    /// Number of entries among which limits that hold over all are divided.
    #[must_use]
    pub fn assumed_entries(&self) -> u32 {
        let domains = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        domains.max(1).saturating_mul(ENTRIES_PER_DOMAIN)
    }
}

/// Bounds that the operators of a deployment state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving endpoint receives no new work.
    pub drain: units::Millis,
    /// Time from SIGTERM to SIGKILL.
    pub grace: units::Millis,
    /// Time after which a withdrawn key must be refused on every entry;
    /// `None` where that is not strict.
    pub revoke: Option<units::Millis>,
    /// Repeats that are allowed for each request, in a window.
    pub retry_ratio: f64,
    /// Length of that window.
    pub retry_window: units::Millis,
    /// Largest part of a service's requests that a bad version may get.
    pub exposure: units::Share,
}
