//! Records by which the operator configures the system through the store.

use std::collections::HashMap;
use std::sync::Arc;

use hyper::body::Bytes;

use crate::catalog;
use crate::direct;
use crate::ids;
use crate::observe;
use crate::units;

/// Topic of all records that the operator writes.
pub const TOPIC: &str = "keyed.op";
/// Key of the record with the configuration.
const CONFIG_KEY: &str = "config";
/// Prefix of the keys of rollout orders, before the name of the service.
const ROLLOUT_PREFIX: &str = "rollout/";
/// Prefix of the keys of evacuations, before the name of the failure domain.
const EVACUATE_PREFIX: &str = "evacuate/";
/// Largest priority that is distinguished; greater numbers are lowered to it.
const MAX_PRIORITY: f64 = 255.0;

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Config {
    version: f64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    tenants: Option<Vec<Tenant>>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Route {
    name: ids::RouteName,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: Kind,
    timeout_ms: f64,
    /// Time within which an answer earns its full credit; not a measured latency.
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: f64,
    /// Models among which the system chooses, smallest model first.
    #[serde(default)]
    sizes: Vec<ids::ModelName>,
    service: Option<ids::ServiceName>,
    traffic_split: Option<Vec<Split>>,
    max_attempts: Option<f64>,
    #[serde(default)]
    allow_anonymous: bool,
    #[serde(default)]
    stream_resume: bool,
    /// Maximum pause between events of a stream that counts as on time.
    gap_aim_ms: Option<f64>,
    /// Regions of the servers that may run the requests; all where the list is empty.
    #[serde(default)]
    allowed_regions: Vec<ids::RegionName>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Split {
    service: ids::ServiceName,
    weight: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
    /// The answer is stored under a key; such a request runs at most once.
    Keyed,
    Streaming,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    name: ids::ServiceName,
    max_connections: Option<f64>,
    #[serde(default)]
    warmup_s: f64,
    #[serde(default)]
    warmup_per_s: f64,
    /// Present for the servers of models; its content is not used.
    engine: Option<serde::de::IgnoredAny>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    max_header_bytes: f64,
    max_body_bytes: f64,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    name: ids::TeamName,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<f64>,
    /// Regions of the servers that may run the tenant's requests; all where it is empty.
    #[serde(default)]
    allowed_regions: Vec<ids::RegionName>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rollout {
    /// Version that the rollout introduces.
    target: ids::VersionName,
    duration_s: f64,
}

/// Decodes a record of the operator; `None` where its key is unknown or the configuration was
/// removed. A removed or invalid rollout order counts as withdrawn. Records that cannot be
/// used are added to `left_out`.
#[must_use]
pub fn decode(
    key: &str,
    value: Option<&Bytes>,
    left_out: &mut observe::LeftOut,
) -> Option<direct::OperatorChange> {
    if key == CONFIG_KEY {
        let config = read_json::<Config>(key, value?, left_out);
        return Some(match config {
            Some(config) => direct::OperatorChange::Deployment(Arc::new(deployment(config))),
            None => direct::OperatorChange::UnreadableDeployment,
        });
    }
    if let Some(service) = key.strip_prefix(ROLLOUT_PREFIX) {
        let service = left_out.usable(key, service.parse())?;
        let plan = value
            .and_then(|value| read_json::<Rollout>(key, value, left_out))
            .map(|order| direct::RolloutOrder {
                target: order.target,
                duration: units::Millis::from_seconds(order.duration_s),
            });
        return Some(direct::OperatorChange::Rollout { service, plan });
    }
    let Some(domain) = key.strip_prefix(EVACUATE_PREFIX) else {
        left_out.push_unknown(key, value);
        return None;
    };
    let domain = left_out.usable(key, domain.parse())?;
    Some(direct::OperatorChange::DomainOut {
        domain,
        out: value.is_some(),
    })
}

fn read_json<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &Bytes,
    left_out: &mut observe::LeftOut,
) -> Option<T> {
    let mut json = serde_json::Deserializer::from_slice(value);
    left_out.usable(key, serde_path_to_error::deserialize(&mut json))
}

fn deployment(config: Config) -> catalog::Deployment {
    let limits = catalog::CallerLimits {
        head: units::Bytes(to_integer(config.limits.max_header_bytes)),
        body: units::Bytes(to_integer(config.limits.max_body_bytes)),
        head_time: config
            .limits
            .header_timeout_ms
            .map(units::Millis::from_millis_rounded),
        idle: config
            .limits
            .idle_timeout_ms
            .map(units::Millis::from_millis_rounded),
    };
    catalog::Deployment::new(
        ids::Revision(to_integer(config.version)),
        config.routes.into_iter().map(route).collect(),
        config.services.into_iter().map(upstream).collect(),
        config.tenants.map(teams_by_key),
        limits,
    )
}

fn route(route: Route) -> catalog::RouteRule {
    let services = match route.traffic_split {
        Some(parts) => parts
            .into_iter()
            .map(|part| catalog::WeightedService {
                service: part.service,
                weight: u32::try_from(to_integer(part.weight)).unwrap_or(u32::MAX),
            })
            .collect(),
        None => route
            .service
            .map(|service| catalog::WeightedService { service, weight: 1 })
            .into_iter()
            .collect(),
    };
    let timeout = units::Millis::from_millis_rounded(route.timeout_ms);
    catalog::RouteRule {
        name: route.name,
        host: route.host,
        path_prefix: route.path_prefix,
        services,
        kind: match route.kind {
            Kind::Idempotent => catalog::CallKind::Idempotent,
            Kind::NonIdempotent | Kind::Keyed => catalog::CallKind::NonIdempotent,
            Kind::Streaming => catalog::CallKind::Stream {
                resumable: route.stream_resume,
            },
        },
        timeout,
        objective: route
            .target_latency_ms
            .map_or(timeout, units::Millis::from_millis_rounded),
        event_gap: route.gap_aim_ms.map(units::Millis::from_millis_rounded),
        max_attempts: route
            .max_attempts
            .map_or(1, |max| u16::try_from(to_integer(max)).unwrap_or(u16::MAX))
            .max(1),
        priority: priority_rank(route.priority),
        anonymous: route.allow_anonymous,
        models: route.sizes,
        regions: catalog::AllowedRegions::from_list(route.allowed_regions),
    }
}

fn upstream(service: Service) -> catalog::Upstream {
    let cold_start = (service.warmup_per_s > 0.0).then(|| catalog::ColdStart {
        duration: units::Millis::from_seconds(service.warmup_s),
        rate: units::Rate::clamped(service.warmup_per_s),
    });
    catalog::Upstream {
        name: service.name,
        max_connections: service.max_connections.map_or(u32::MAX, |max| {
            u32::try_from(to_integer(max)).unwrap_or(u32::MAX)
        }),
        cold_start,
        is_engine: service.engine.is_some(),
    }
}

fn teams_by_key(tenants: Vec<Tenant>) -> HashMap<catalog::ApiKey, Arc<catalog::TeamAccess>> {
    let mut teams_by_key = HashMap::new();
    for tenant in tenants {
        let access = Arc::new(catalog::TeamAccess {
            team: tenant.name,
            priority: tenant.priority.map(priority_rank),
            regions: catalog::AllowedRegions::from_list(tenant.allowed_regions),
        });
        for key in &tenant.api_keys {
            teams_by_key.insert(catalog::ApiKey::new(key), Arc::clone(&access));
        }
    }
    teams_by_key
}

/// Rounds a number to an integer, negative ones to 0: the records have untyped
/// numbers, in fields where fractions and signs have no meaning.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_integer(number: f64) -> u64 {
    number.max(0.0).round() as u64
}

fn priority_rank(priority: f64) -> u8 {
    u8::try_from(to_integer(priority.min(MAX_PRIORITY))).unwrap_or(u8::MAX)
}
