//! Reads the settings file that the platform provides for a direct entry.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use crate::ids;
use crate::platform::group;
use crate::settings;
use crate::units;

/// Environment variable that holds the path of the settings file.
const SETTINGS_PATH_VAR: &str = "QUETZALWORKS_BOOT";
/// Grace time where the file has none; platforms send SIGKILL a few seconds after SIGTERM.
const DEFAULT_GRACE_S: f64 = 8.0;
/// Limit on the drain of an endpoint where the file has none.
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
/// Limit on the use of a withdrawn key where the file has none.
const DEFAULT_REVOKE_MS: f64 = 5_000.0;
/// Allowed retries for each request where the file has no limit.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Window of the limit on retries where the file has none.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Maximum share of requests to a bad version where the file has none.
const DEFAULT_EXPOSURE_SHARE: f64 = 0.1;
/// Partitions of a topic of the store where the file has none.
const DEFAULT_PARTITIONS: u32 = 12;
/// Memory of the process where the file states none.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Bytes in a megabyte of the file.
const BYTES_PER_MB: u64 = 1_000_000;
/// Limit on open file descriptors where the file has none.
const DEFAULT_MAX_DESCRIPTORS: u32 = 1_024;

/// The settings file as the platform writes it; fields that are not listed are ignored.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SettingsFile {
    node_name: ids::VmName,
    zone: ids::DomainName,
    /// Name of the region of each zone.
    zones: BTreeMap<ids::DomainName, ids::RegionName>,
    listen_addrs: ListenAddrs,
    platform: Store,
    /// Address of the VM.
    ip: Option<IpAddr>,
    /// First and last port that is free on every VM for the entries among themselves.
    #[serde(default)]
    internal_ports: Vec<u16>,
    #[serde(default)]
    limits: Limits,
    /// Limits of the deployment.
    #[serde(default)]
    contract_params: ContractParams,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListenAddrs {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Store {
    address: SocketAddr,
    /// Number of partitions of each topic.
    #[serde(rename = "parts")]
    partitions: Option<u32>,
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    max_fds: Option<u32>,
    memory_mb: Option<u64>,
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct ContractParams {
    drain_ms: Option<f64>,
    grace_s: Option<f64>,
    strict_revoke: Option<bool>,
    revoke_ms: Option<f64>,
    budget_ratio: Option<f64>,
    budget_window_s: Option<f64>,
    expose_share: Option<f64>,
}

/// Returns the path of the platform's settings file; `None` where the variable is unset or empty.
#[must_use]
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_PATH_VAR)
        .filter(|path: &OsString| !path.is_empty())
        .map(PathBuf::from)
}

/// Reads the platform's settings file and resolves its defaults. Fails where it
/// cannot be read, or where a field is missing or has a wrong type.
pub fn load(path: &Path) -> Result<settings::Direct, settings::SettingsError> {
    let text = fs::read_to_string(path).map_err(|err| {
        settings::SettingsError::Unreadable(format!("{}: {err}", path.display()).into())
    })?;
    parse(&text)
}

/// Parses the text of the platform's settings file (TOML) and resolves its defaults.
pub fn parse(text: &str) -> Result<settings::Direct, settings::SettingsError> {
    let invalid = |field: String, err: &toml::de::Error| {
        let line = err
            .span()
            .map_or(0, |span| text[..span.start].lines().count().max(1));
        settings::SettingsError::Invalid {
            field: field.into(),
            line,
            reason: err.message().into(),
        }
    };
    let document = toml::Deserializer::parse(text).map_err(|err| invalid(".".into(), &err))?;
    let file: SettingsFile = serde_path_to_error::deserialize(document)
        .map_err(|err| invalid(err.path().to_string(), err.inner()))?;
    Ok(resolve(file))
}

fn resolve(file: SettingsFile) -> settings::Direct {
    let partitions = file.platform.partitions.unwrap_or(DEFAULT_PARTITIONS);
    let leases = partitions.max(1).saturating_mul(group::TOPIC_COUNT);
    let params = file.contract_params;
    let revoke = units::Millis::from_millis_rounded(params.revoke_ms.unwrap_or(DEFAULT_REVOKE_MS));
    settings::Direct {
        vm: file.node_name,
        domain: file.zone,
        regions: file.zones,
        callers_addr: file.listen_addrs.front,
        readiness_addr: file.listen_addrs.ready,
        metrics_addr: None,
        peer_addr: file
            .ip
            .zip(file.internal_ports.first())
            .map(|(ip, port)| SocketAddr::new(ip, *port)),
        store_addr: file.platform.address,
        leases,
        max_descriptors: file.limits.max_fds.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        memory: units::Bytes(
            file.limits
                .memory_mb
                .unwrap_or(DEFAULT_MEMORY_MB)
                .saturating_mul(BYTES_PER_MB),
        ),
        bounds: settings::Bounds {
            drain: units::Millis::from_millis_rounded(params.drain_ms.unwrap_or(DEFAULT_DRAIN_MS)),
            grace: units::Millis::from_seconds(params.grace_s.unwrap_or(DEFAULT_GRACE_S)),
            revoke: params.strict_revoke.unwrap_or(false).then_some(revoke),
            retry_ratio: params.budget_ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            retry_window: units::Millis::from_seconds(
                params.budget_window_s.unwrap_or(DEFAULT_RETRY_WINDOW_S),
            ),
            exposure: units::Share::clamped(params.expose_share.unwrap_or(DEFAULT_EXPOSURE_SHARE)),
        },
    }
}
