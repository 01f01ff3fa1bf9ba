//! Settings of a direct entry, which calls endpoints without sidecars.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids;
use crate::units;

/// Settings of a direct entry, checked and with all defaults resolved.
/// The process logs them with `Debug`, so the names of the type and its fields appear
/// in its log.
#[derive(Clone, Debug, PartialEq)]
pub struct Direct {
    /// Name of the VM on which the process runs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of each failure domain of the deployment.
    pub regions: BTreeMap<ids::DomainName, ids::RegionName>,
    /// Address for callers (TCP).
    pub callers_addr: SocketAddr,
    /// Address for readiness checks (TCP).
    pub readiness_addr: SocketAddr,
    /// Address for metrics (TCP); `None` where metrics are not served.
    pub metrics_addr: Option<SocketAddr>,
    /// Address for other entries (TCP); `None` where entries do not read for each other.
    pub peer_addr: Option<SocketAddr>,
    /// Address of the platform's metadata store (TCP).
    pub store_addr: SocketAddr,
    /// Number of leases into which the store divides limits that apply to all entries
    /// together; at least 1.
    pub leases: u32,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: u32,
    /// Memory that the process may use.
    pub memory: units::Bytes,
    /// Limits from the platform's settings.
    pub bounds: Bounds,
}

impl Direct {
    /// Returns a fraction of the memory that is left for traffic in a process that has
    /// `resident` bytes in use before it.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn traffic_memory(&self, resident: units::Bytes, fraction: f64) -> units::Bytes {
        units::Bytes((self.memory.0.saturating_sub(resident.0) as f64 * fraction) as u64)
    }
}

/// Limits from the platform's settings, set by the operators of a deployment.
/// The names of the type and its fields appear in the log of the process, as those
/// of [`Direct`] do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving endpoint receives no new work.
    pub drain: units::Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace: units::Millis,
    /// Time after which every entry must refuse a withdrawn key; `None` where
    /// the platform does not enforce such a limit.
    pub revoke: Option<units::Millis>,
    /// Allowed retries as a fraction of the requests within [`Self::retry_window`].
    pub retry_ratio: f64,
    /// Length of the window over which retries are limited.
    pub retry_window: units::Millis,
    /// Maximum share of a service's requests that a bad version may receive.
    pub exposure: units::Share,
}
