//! Measures the time of a routing decision.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use fastrand::Rng;
use serde_json::json;
use slotmap::SlotMap;

use crate::bench;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::route;
use crate::units;

/// Versions over which the endpoints are spread.
const VERSIONS: usize = 10;
/// Failure domains over which the endpoints are spread.
const DOMAINS: usize = 8;
/// Decisions before the measurement that are not recorded.
const WARM_UP_DECISIONS: u64 = 1_000;

/// Returns the latency of `count` decisions over a snapshot with this many endpoints.
pub fn run(endpoints: usize, count: u64, seed: u64) -> Result<bench::Quantiles, bench::BenchError> {
    let names: Vec<ids::VersionName> = (0..VERSIONS)
        .map(|i| format!("version-{i}").parse())
        .collect::<Result<_, _>>()?;
    let snapshot = snapshot(&names, endpoints)?;
    let profile = profile(&names)?;
    let (domain, region) = ("domain-0".parse()?, "region-0".parse()?);
    let mut rng = Rng::with_seed(seed);
    let mut latency = bench::Latency::new()?;
    for i in 0..WARM_UP_DECISIONS + count {
        let req = route::RouteRequest {
            class: estimate::RequestClass::default(),
            pin: None,
            fingerprint: ids::Fingerprint(rng.u64(..)),
            prefix: Some(ids::Fingerprint(rng.u64(..))),
            time_left: units::Millis(60_000),
            excluded: &[],
            possible_executions: 0,
            domain: &domain,
            region: &region,
        };
        let start = Instant::now();
        let route = route::decide(&snapshot, &profile, &req, &mut rng);
        let taken = start.elapsed();
        std::hint::black_box(&route);
        if i >= WARM_UP_DECISIONS {
            latency.record(taken);
        }
    }
    Ok(latency.quantiles())
}

fn snapshot(
    names: &[ids::VersionName],
    endpoints: usize,
) -> Result<control::Snapshot, bench::BenchError> {
    let mut snapshot = control::Snapshot {
        phase: control::Phase::Serving,
        ..control::Snapshot::default()
    };
    let mut keys = SlotMap::<control::EndpointKey, ()>::with_key();
    for i in 0..endpoints {
        let key = keys.insert(());
        let version = &names[i % names.len()];
        let domain = i / names.len() % DOMAINS;
        let view = control::EndpointView {
            vm: format!("vm-{i}").parse()?,
            domain: format!("domain-{domain}").parse()?,
            region: format!("region-{}", domain % 2).parse()?,
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: ids::Incarnation(1),
            report: fleet::Report {
                versions: vec![version.clone()],
                limit: 16,
                max: 16,
                running: u32::try_from(i % 16)?,
                warmth: fleet::Warmth::Warm,
                accepting: true,
                ..fleet::Report::default()
            },
            in_flight: Arc::default(),
        };
        snapshot.endpoints.insert(key, view);
        let serving = snapshot.by_version.entry(version.clone()).or_default();
        serving.push(key);
    }
    Ok(snapshot)
}

fn profile(names: &[ids::VersionName]) -> Result<control::ProfileView, bench::BenchError> {
    let profile = json!({ "teams": [], "versions": names, "quality_target": 0.9 });
    let versions = names.iter().zip(1_u64..).map(|(name, cost)| {
        let version = json!({
            "model": name,
            "prompt_cost": 100 * cost,
            "output_cost": 300 * cost,
            "prior_quality": 0.7,
        });
        Ok(control::VersionView {
            name: name.clone(),
            version: serde_json::from_value(version)?,
        })
    });
    Ok(control::ProfileView {
        name: "bench".parse()?,
        profile: serde_json::from_value(profile)?,
        versions: versions.collect::<Result<_, bench::BenchError>>()?,
        rollouts: Vec::new(),
    })
}
