//! The fields of the daemon's settings file and their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::ids;
use crate::units;

/// Settings of one process.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM on which the process runs, as in the platform's list of VMs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of the failure domain.
    pub region: ids::RegionName,
    /// Address of this process for other processes of the system (UDP).
    pub peer_addr: SocketAddr,
    /// Address for health, readiness and metrics (TCP).
    pub operations_addr: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Certificate files for connections between the system's own processes.
    pub tls: TlsSettings,
    /// Role of the process, with the settings of that role.
    pub role: Role,
    /// Number of threads that carry traffic, besides the control thread; at least 1, by default 2.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Maximum time for accepted requests to finish on a planned stop; by default 60 s.
    #[serde(default = "default_drain")]
    pub drain_timeout_ms: units::Millis,
}

/// Role of a process, with the settings of the role.
#[derive(
    Clone, Debug, serde::Serialize, serde::Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Serves callers and operators.
    Entry(EntrySettings),
    /// Runs beside an endpoint and controls the access to it.
    Sidecar(SidecarSettings),
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the append-only log (TCP).
    pub log_addr: SocketAddr,
    /// Address of the service that lists the VMs (TCP).
    pub inventory_addr: SocketAddr,
    /// Address of the service that rates answers (TCP); `None` where there is none.
    pub rating_addr: Option<SocketAddr>,
    /// Address of the weight store (TCP); `None` where there is none.
    pub weights_addr: Option<SocketAddr>,
}

/// PEM files with the certificates and the key of a process.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate of the cluster's CA.
    pub ca_file: PathBuf,
    /// Certificate of this VM, for the name `<vm>.quetzalworks.internal`.
    pub cert_file: PathBuf,
    /// Private key that belongs to the certificate.
    pub key_file: PathBuf,
}

/// Settings of an entry process.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers and operators (TCP).
    pub callers_addr: SocketAddr,
    /// SHA-256 digest of the operators' token.
    pub operator_token_sha256: ids::Digest,
    /// File with the key that authenticates session tokens: at least 32 bytes, the same on all entries.
    pub session_key_file: PathBuf,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Interval between appends of usage records; at least 1 ms, by default 1 s.
    #[serde(default = "default_usage_flush")]
    pub usage_flush_ms: units::Millis,
    /// Interval between appends of ratings; at least 1 ms, by default 10 s.
    #[serde(default = "default_evidence_flush")]
    pub evidence_flush_ms: units::Millis,
    /// Number of versions that may load from the weight store at a time; at least 1, by default 2.
    #[serde(default = "default_parallel_loads")]
    pub parallel_loads: usize,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of the head of a request; by default 16 KiB.
    pub head_bytes: units::Bytes,
    /// Maximum size of the body of a request; by default 1 MiB.
    pub body_bytes: units::Bytes,
    /// Memory for the connections and requests of all callers together; by default 128 MiB.
    pub buffered_bytes: units::Bytes,
    /// Maximum time for a caller to send its request, and maximum time for which
    /// it may read nothing of its answer; by default 10 s.
    pub send_timeout_ms: units::Millis,
    /// Maximum time without progress of a body, within the time to send a request; at least
    /// 1 ms, by default 5 s.
    pub body_stall_ms: units::Millis,
    /// Maximum number of open connections; by default 4096.
    pub max_connections: usize,
}

impl Limits {
    /// The limits of a listener for which the settings state none.
    pub const DEFAULT: Self = Self {
        head_bytes: units::Bytes(16 * 1_024),
        body_bytes: units::Bytes(1_024 * 1_024),
        buffered_bytes: units::Bytes(128 * 1_024 * 1_024),
        send_timeout_ms: units::Millis(10_000),
        body_stall_ms: units::Millis(5_000),
        max_connections: 4_096,
    };
}

impl Default for Limits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Settings of a sidecar, the process beside an endpoint.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Address of the endpoint (TCP).
    pub endpoint_addr: SocketAddr,
    /// Kind of the endpoint, with its settings.
    pub endpoint: EndpointSettings,
    /// Maximum number of concurrent requests at a cold endpoint; at least 1, by default 2.
    #[serde(default = "default_cold_limit")]
    pub cold_limit: u32,
    /// Maximum number of concurrent requests at a warm endpoint; at least
    /// [`Self::cold_limit`], by default 16.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Maximum number of requests that wait for a free slot; by default 64.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time under load with only successes after which the limit of a cold
    /// endpoint doubles; by default 1 s.
    #[serde(default = "default_ramp_interval")]
    pub ramp_interval_ms: units::Millis,
    /// Number of answers that each doubling of the limit needs besides that time; by default 4.
    #[serde(default = "default_ramp_answers")]
    pub ramp_answers: u32,
}

/// Kind of an endpoint, with the settings of that kind.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointSettings {
    /// A model engine, which loads and runs versions of models.
    Engine {
        /// Whether the engine itself refuses orders with an outdated fencing number.
        checks_fence: bool,
    },
    /// A service without a model.
    Service {
        /// Name under which callers reach the service.
        name: ids::ServiceName,
    },
}

const fn default_traffic_threads() -> usize {
    2
}

const fn default_drain() -> units::Millis {
    units::Millis(60_000)
}

const fn default_usage_flush() -> units::Millis {
    units::Millis(1_000)
}

const fn default_evidence_flush() -> units::Millis {
    units::Millis(10_000)
}

const fn default_parallel_loads() -> usize {
    2
}

const fn default_cold_limit() -> u32 {
    2
}

const fn default_max_concurrent() -> u32 {
    16
}

const fn default_queue() -> u32 {
    64
}

const fn default_ramp_answers() -> u32 {
    4
}

const fn default_ramp_interval() -> units::Millis {
    units::Millis(1_000)
}
