//! The platform's settings file.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::ids;
use crate::settings;
use crate::units;

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "QUETZALWORKS_BOOT";
/// Used where the file states no grace time; a platform kills seconds after SIGTERM.
const DEFAULT_GRACE_S: f64 = 8.0;
/// Used where the file states no bound on draining.
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
/// Used where the file states no bound on withdrawn keys.
const DEFAULT_REVOKE_MS: f64 = 5_000.0;
/// Used where the file states no bound on repeats.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Used where the file states no window for the bound on repeats.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Used where the file states no bound on a bad version's part.
const DEFAULT_EXPOSURE: f64 = 0.1;
/// Used where the file states no limit on descriptors.
const DEFAULT_DESCRIPTORS: u32 = 1_024;

/// The file as the platform writes it. Fields that are not listed are ignored.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct File {
    node_name: ids::VmName,
    zone: ids::DomainName,
    /// Region by zone.
    zones: BTreeMap<ids::DomainName, String>,
    listen_addrs: ListenAddrs,
    platform: Store,
    #[serde(default)]
    limits: Limits,
    /// Figures of the deployment's rules.
    #[serde(default)]
    contract_params: Params,
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
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    max_fds: Option<u32>,
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Params {
    drain_ms: Option<f64>,
    grace_s: Option<f64>,
    strict_revoke: Option<bool>,
    revoke_ms: Option<f64>,
    budget_ratio: Option<f64>,
    budget_window_s: Option<f64>,
    expose_share: Option<f64>,
}

/// Path of the settings file, where the platform has started this process.
#[must_use]
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE)
        .filter(|path: &OsString| !path.is_empty())
        .map(PathBuf::from)
}

/// Reads and checks the platform's settings file.
pub fn load(path: &Path) -> Result<settings::Direct, settings::SettingsError> {
    let text = fs::read_to_string(path).map_err(|err| {
        settings::SettingsError::Unreadable(format!("{}: {err}", path.display()).into())
    })?;
    parse(&text)
}

/// Checks the text of the platform's settings file.
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
    let file: File = serde_path_to_error::deserialize(document)
        .map_err(|err| invalid(err.path().to_string(), err.inner()))?;
    Ok(resolve(file))
}

fn resolve(file: File) -> settings::Direct {
    let params = file.contract_params;
    let revoke = units::Millis::rounded(params.revoke_ms.unwrap_or(DEFAULT_REVOKE_MS));
    settings::Direct {
        vm: file.node_name,
        domain: file.zone,
        domains: file.zones.into_keys().collect(),
        callers_addr: file.listen_addrs.front,
        readiness_addr: file.listen_addrs.ready,
        metrics_addr: None,
        store_addr: file.platform.address,
        max_descriptors: file.limits.max_fds.unwrap_or(DEFAULT_DESCRIPTORS),
        bounds: settings::Bounds {
            drain: units::Millis::rounded(params.drain_ms.unwrap_or(DEFAULT_DRAIN_MS)),
            grace: units::Millis::from_seconds(params.grace_s.unwrap_or(DEFAULT_GRACE_S)),
            revoke: params.strict_revoke.unwrap_or(false).then_some(revoke),
            retry_ratio: params.budget_ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            retry_window: units::Millis::from_seconds(
                params.budget_window_s.unwrap_or(DEFAULT_RETRY_WINDOW_S),
            ),
            exposure: units::Share::clamped(params.expose_share.unwrap_or(DEFAULT_EXPOSURE)),
        },
    }
}
