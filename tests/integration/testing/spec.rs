//! What a test's cluster consists of.

use quetzalworks::standin::EngineProfile;
use serde_json::{Value, json};

/// What a test's cluster consists of.
pub struct Spec {
    pub entries: usize,
    pub engines: usize,
    /// Endpoints of the service `bookings`.
    pub services: usize,
    /// Failure domains, over which the VMs of each kind are spread in turn.
    pub domains: usize,
    /// Regions, over which the failure domains are spread in turn.
    pub regions: usize,
    /// The behaviour of each engine by its number.
    pub engine: Box<dyn Fn(usize) -> EngineProfile + Send + Sync>,
    /// Puts a fault proxy between the entries and each sidecar (UDP).
    pub proxy_peers: bool,
    /// Puts a fault proxy between each process and the log (TCP).
    pub proxy_log: bool,
    /// Puts a fault proxy between each sidecar and its endpoint (TCP).
    pub proxy_endpoints: bool,
    /// Members that are merged into the settings of all processes.
    pub settings: Value,
    /// Members that are merged into the settings of the entry role.
    pub entry: Value,
    /// Members that are merged into the settings of the sidecar role.
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

/// The default behaviour with these versions loaded.
pub fn serving(versions: &[&str]) -> EngineProfile {
    EngineProfile {
        versions: versions.iter().map(|name| name.parse().unwrap()).collect(),
        ..EngineProfile::default()
    }
}

/// Merges the members of `extra` into `base`.
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
