//! Builds a synthetic fleet and its configuration, for measurements of control state.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

use crate::bench;
use crate::catalog;
use crate::control;
use crate::demo;
use crate::fleet;
use crate::ids;
use crate::platform_clients;
use crate::units;

/// Versions over which the endpoints are spread.
pub const VERSIONS: usize = 10;
/// Number of teams in the configuration.
const TEAMS: usize = 10;
/// Number of profiles; each allows all teams and versions.
const PROFILES: usize = 20;
/// Failure domains over which the processes are spread.
const DOMAINS: usize = 8;

/// Returns the version that endpoint `i` serves.
pub fn version(i: usize) -> Result<ids::VersionName, bench::BenchError> {
    Ok(format!("model-{}-2026-03", i % VERSIONS).parse()?)
}

/// Returns the identity of process `i` of a role.
pub fn identity(role: fleet::NodeRole, i: usize) -> Result<fleet::Identity, bench::BenchError> {
    let domain = i % DOMAINS;
    Ok(fleet::Identity {
        vm: format!("{role}-{i:04}").parse()?,
        domain: format!("domain-{domain}").parse()?,
        region: format!("region-{}", domain % 2).parse()?,
        incarnation: ids::Incarnation(1_790_000_000_000_000),
        role,
    })
}

/// Returns the platform's list of VMs: all entries, then all sidecars.
pub fn list(
    entries: usize,
    endpoints: usize,
) -> Result<Vec<platform_clients::Vm>, bench::BenchError> {
    let entries = (0..entries).map(|i| identity(fleet::NodeRole::Entry, i));
    let sidecars = (0..endpoints).map(|i| identity(fleet::NodeRole::Sidecar, i));
    entries
        .chain(sidecars)
        .map(|node| {
            let node = node?;
            Ok(platform_clients::Vm {
                vm: node.vm,
                domain: node.domain,
                region: node.region,
                role: node.role,
                peer_addr: SocketAddr::from(([10, 20, 130, 140], 7_400)),
                state: platform_clients::VmState::Live,
            })
        })
        .collect()
}

/// Returns the report of endpoint `i`, which is warm and accepts work.
pub fn report(i: usize) -> Result<fleet::Report, bench::BenchError> {
    Ok(fleet::Report {
        versions: vec![version(i)?],
        running: u32::try_from(i % 16)?,
        limit: 16,
        max: 16,
        warmth: fleet::Warmth::Warm,
        accepting: true,
        config: Some(ids::Offset(350_000)),
        control: Some(ids::Offset(9_000_000)),
        first_token: units::Millis(400),
        ..fleet::Report::default()
    })
}

/// Returns the membership row of entry `i`.
pub fn member(i: usize) -> Result<fleet::Member, bench::BenchError> {
    let node = identity(fleet::NodeRole::Entry, i)?;
    Ok(fleet::Member {
        vm: node.vm,
        incarnation: node.incarnation,
        beat: 2_000,
        config: Some(ids::Offset(350_000)),
        endpoints_config: Some(ids::Offset(350_000)),
        endpoints: 320,
    })
}

/// Returns the teams, versions and profiles with their object ids.
pub fn objects() -> Result<Vec<(String, catalog::Object)>, bench::BenchError> {
    let mut objects = Vec::new();
    let mut teams = Vec::new();
    for i in 0..TEAMS {
        let team = catalog::Team {
            token_sha256: vec![ids::Digest::of(format!("bench-{i}").as_bytes())],
            max_concurrent: 4_096,
        };
        objects.push((
            format!("teams/team-{i}"),
            catalog::Object::Team(Arc::new(team)),
        ));
        teams.push(format!("team-{i}"));
    }
    let mut versions = Vec::new();
    for i in 0..VERSIONS {
        let version = version(i)?;
        let cost = 100 * (u64::try_from(i)? + 1);
        let content = demo::version_object(format!("model-{i}").parse()?, cost, 0.9);
        objects.push((format!("versions/{version}"), content));
        versions.push(version);
    }
    for i in 0..PROFILES {
        let profile = json!({
            "teams": teams, "versions": versions, "quality_target": 0.7, "deadline_ms": 30_000,
        });
        let content = catalog::Object::Profile(serde_json::from_value(profile)?);
        objects.push((format!("profiles/profile-{i}"), content));
    }
    Ok(objects)
}

/// Returns the configuration records that create all objects, from offset 0 on.
pub fn records() -> Result<Vec<catalog::Record>, bench::BenchError> {
    let objects = objects()?.into_iter().zip(0..);
    objects
        .map(|((id, content), offset)| {
            Ok(catalog::Record {
                offset: ids::Offset(offset),
                body: Some(demo::create_record(id.parse()?, content)),
            })
        })
        .collect()
}

/// Returns a page that holds a complete stream, as read from the log.
pub fn page<R>(records: Vec<R>) -> control::LogPage<R> {
    control::LogPage {
        first_retained: ids::Offset(0),
        end: ids::Offset(records.len() as u64),
        records,
    }
}
