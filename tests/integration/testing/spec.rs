//! Description of a test's cluster.

use quetzalworks::standin::EngineProfile;
use serde_json::{Value, json};

/// Size, behaviour, proxies and settings of a test's cluster.
pub struct Spec {
    pub entries: usize,
    pub engines: usize,
    /// Number of endpoints of the service `bookings`.
    pub services: usize,
    /// Number of failure domains, over which the VMs of each kind are spread in turn.
    pub domains: usize,
    /// Number of regions, over which the failure domains are spread in turn.
    pub regions: usize,
    /// Returns the behaviour of an engine, by its index.
    pub engine: Box<dyn Fn(usize) -> EngineProfile + Send + Sync>,
    /// Puts a fault proxy between the entries and each sidecar (UDP).
    pub proxy_peers: bool,
    /// Puts a fault proxy between each process and the log (TCP).
    pub proxy_log: bool,
    /// Puts a fault proxy between each sidecar and its endpoint (TCP).
    pub proxy_endpoints: bool,
    /// JSON members merged into the settings of all processes.
    pub settings: Value,
    /// JSON members merged into the settings of the entry role.
    pub entry: Value,
    /// JSON members merged into the settings of the sidecar role.
    pub sidecar: Value,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 2,
            services: 0,
            domains: 4,
            regions: 1,
            engine: Box::new(|_| serving(&["small-1"])),
            proxy_peers: false,
            proxy_log: false,
            proxy_endpoints: false,
            settings: json!({}),
            entry: json!({}),
            sidecar: json!({}),
        }
    }
}

/// Returns the default engine behaviour with these versions loaded.
pub fn serving(versions: &[&str]) -> EngineProfile {
    EngineProfile {
        versions: versions.iter().map(|name| name.parse().unwrap()).collect(),
        ..EngineProfile::default()
    }
}

/// Merges the members of `extra` into `base` recursively; other values replace
/// the ones in `base`.
pub fn merge(base: &mut Value, extra: &Value) {
    match (base, extra) {
        (Value::Object(base), Value::Object(extra)) => {
            for (name, value) in extra {
                merge(base.entry(name).or_insert(Value::Null), value);
            }
        }
        (base, extra) => base.clone_from(extra),
    }
}
