//! The fields of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::ids;
use crate::units;

/// Settings of one process.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM on which the process runs; must be the name in the platform's list.
    pub vm: ids::VmName,
    /// The failure domain of the VM.
    pub domain: ids::DomainName,
    /// The region of the failure domain.
    pub region: ids::RegionName,
    /// Address of this process for other processes of the system (UDP).
    pub peer_addr: SocketAddr,
    /// Address for health, readiness and metrics (TCP).
    pub operations_addr: SocketAddr,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Certificates for connections between own processes.
    pub tls: TlsSettings,
    /// What the process does.
    pub role: Role,
    /// Threads that carry traffic, besides the control thread.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Longest time that accepted requests get to finish on a planned stop.
    #[serde(default = "default_drain")]
    pub drain_timeout_ms: units::Millis,
}

/// The role of a process with its own settings.
#[derive(
    Clone, Debug, serde::Serialize, serde::Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Serves callers and operators.
    Entry(EntrySettings),
    /// Stands beside an endpoint.
    Sidecar(SidecarSettings),
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log_addr: SocketAddr,
    /// The list of VMs.
    pub inventory_addr: SocketAddr,
    /// The service that rates answers.
    pub rating_addr: Option<SocketAddr>,
    /// The weight store.
    pub weights_addr: Option<SocketAddr>,
}

/// Files with PEM data.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate of the cluster's CA.
    pub ca_file: PathBuf,
    /// Certificate of this VM, for the name `<vm>.quetzalworks.internal`.
    pub cert_file: PathBuf,
    /// Private key of the certificate.
    pub key_file: PathBuf,
}

/// Settings of an entry.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers and operators (TCP).
    pub callers_addr: SocketAddr,
    /// SHA-256 digest of the operators' token.
    pub operator_token_sha256: ids::Digest,
    /// File with the key that authenticates session tokens, at least 32 bytes; the same on all entries.
    pub session_key_file: PathBuf,
    /// Bounds on callers' input.
    #[serde(default)]
    pub limits: Limits,
    /// Time between appends of usage records.
    #[serde(default = "default_usage_flush")]
    pub usage_flush_ms: units::Millis,
    /// Time between appends of ratings.
    #[serde(default = "default_evidence_flush")]
    pub evidence_flush_ms: units::Millis,
    /// Loads of versions at a time that the weight store bears.
    #[serde(default = "default_parallel_loads")]
    pub parallel_loads: usize,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest head of a request.
    pub head_bytes: units::Bytes,
    /// Largest body of a request.
    pub body_bytes: units::Bytes,
    /// Time in which a request must be sent, and longest time in which a
    /// caller takes nothing of its answer.
    pub send_timeout_ms: units::Millis,
    /// Most connections at a time.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: units::Bytes(16 * 1_024),
            body_bytes: units::Bytes(1_024 * 1_024),
            send_timeout_ms: units::Millis(10_000),
            max_connections: 4_096,
        }
    }
}

/// Settings of a process beside an endpoint.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Address of the endpoint (TCP).
    pub endpoint_addr: SocketAddr,
    /// What the endpoint is.
    pub endpoint: EndpointSettings,
    /// Concurrent requests that the endpoint bears when cold.
    #[serde(default = "default_cold_limit")]
    pub cold_limit: u32,
    /// Concurrent requests that the endpoint bears when warm.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Requests that may wait for a place.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time under load with only successes after which a cold limit doubles.
    #[serde(default = "default_ramp_interval")]
    pub ramp_interval_ms: units::Millis,
    /// Answers that each doubling of the limit needs besides that time.
    #[serde(default = "default_ramp_answers")]
    pub ramp_answers: u32,
}

/// The kind of an endpoint.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// Whether the engine itself refuses orders with an old fencing number.
        checks_fence: bool,
    },
    /// A plain service.
    Service {
        /// The name under which callers reach it.
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
