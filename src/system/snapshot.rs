//! Makes the immutable view of the tables.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::catalog;
use crate::control;
use crate::ids;
use crate::platform;
use crate::units;

/// Silence after which an endpoint gets no new work: three report intervals.
const SILENCE: Duration = Duration::from_secs(3);
/// Token counts by which versions are put in order of cost.
const TYPICAL_PROMPT: units::Tokens = units::Tokens(1_000);
/// See [`TYPICAL_PROMPT`].
const TYPICAL_OUTPUT: units::Tokens = units::Tokens(500);

/// The view of the tables at `now`.
#[must_use]
pub fn take(world: &control::World, now: Instant) -> control::Snapshot {
    let mut snapshot = control::Snapshot {
        phase: phase(world),
        log_available: world.log_available,
        config: world.catalog.applied(),
        self_out: world.is_out(&world.me.vm, &world.me.domain),
        estimates: Arc::clone(&world.estimates),
        quarantine: Arc::clone(&world.quarantine),
        ..control::Snapshot::default()
    };
    add_objects(world, &mut snapshot);
    for (key, row) in world.endpoints.iter() {
        let Some(view) = view(row) else { continue };
        if takes_work(world, row, now) {
            for version in &row.report.versions {
                snapshot
                    .by_version
                    .entry(version.clone())
                    .or_default()
                    .push(key);
            }
            if let Some(service) = &row.report.service {
                snapshot
                    .by_service
                    .entry(service.clone())
                    .or_default()
                    .push(key);
            }
        }
        snapshot.endpoints.insert(key, view);
    }
    snapshot
}

fn phase(world: &control::World) -> control::Phase {
    if world.stopping {
        control::Phase::Stopping
    } else if world.caught_up {
        control::Phase::Serving
    } else {
        control::Phase::Starting
    }
}

fn add_objects(world: &control::World, snapshot: &mut control::Snapshot) {
    for (name, team) in world.teams.named() {
        let view = control::TeamView {
            name: name.clone(),
            max_concurrent: team.max_concurrent,
        };
        snapshot
            .teams
            .extend(team.token_sha256.iter().map(|token| (*token, view.clone())));
    }
    for (name, profile) in world.profiles.named() {
        snapshot
            .profiles
            .insert(name.clone(), Arc::new(profile_view(world, name, profile)));
    }
    for (name, service) in world.services.named() {
        snapshot.services.insert(name.clone(), Arc::clone(service));
    }
    let withdrawn = world
        .versions
        .named()
        .filter(|(_, version)| version.withdrawn);
    snapshot
        .withdrawn
        .extend(withdrawn.map(|(name, _)| name.clone()));
}

fn profile_view(
    world: &control::World,
    name: &ids::ProfileName,
    profile: &Arc<catalog::Profile>,
) -> control::ProfileView {
    let mut versions: Vec<control::VersionView> = profile
        .versions
        .iter()
        .filter_map(|version| version_view(world, version))
        .collect();
    let mut rollouts = Vec::new();
    for (rollout, plan) in world
        .rollouts
        .named()
        .filter(|(_, plan)| plan.profile == *name)
    {
        versions.retain(|version| version.name != plan.version);
        rollouts.extend(
            version_view(world, &plan.version).map(|version| control::RolloutView {
                name: Arc::clone(rollout),
                version,
                share: units::Share::default(),
                allotment: Arc::default(),
            }),
        );
    }
    versions.sort_by_key(|view| view.version.cost(TYPICAL_PROMPT, TYPICAL_OUTPUT));
    control::ProfileView {
        name: name.clone(),
        profile: Arc::clone(profile),
        versions,
        rollouts,
    }
}

fn version_view(world: &control::World, name: &ids::VersionName) -> Option<control::VersionView> {
    let version = world
        .versions
        .by_name(name)
        .filter(|version| !version.withdrawn)?;
    Some(control::VersionView {
        name: name.clone(),
        version: Arc::clone(version),
    })
}

fn takes_work(world: &control::World, row: &control::EndpointRow, now: Instant) -> bool {
    let heard = row
        .link
        .as_ref()
        .is_some_and(|link| now.saturating_duration_since(link.heard) < SILENCE);
    heard
        && row.report.accepting
        && row.state == platform::VmState::Live
        && !world.is_out(&row.vm, &row.domain)
}

fn view(row: &control::EndpointRow) -> Option<control::EndpointView> {
    let link = row.link.as_ref()?;
    Some(control::EndpointView {
        vm: row.vm.clone(),
        domain: row.domain.clone(),
        region: row.region.clone(),
        addr: row.addr,
        incarnation: link.incarnation,
        report: row.report.clone(),
        in_flight: Arc::clone(&row.in_flight),
    })
}
