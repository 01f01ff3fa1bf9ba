//! Builds the immutable snapshot of the tables for the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::catalog;
use crate::control;
use crate::fleet;
use crate::ids;
use crate::platform_clients;
use crate::rollout;
use crate::units;

/// Prompt length of the typical request by whose cost versions are ordered.
const REFERENCE_PROMPT_TOKENS: units::Tokens = units::Tokens(1_000);
/// Output length of the typical request; see [`REFERENCE_PROMPT_TOKENS`].
const REFERENCE_OUTPUT_TOKENS: units::Tokens = units::Tokens(500);

/// Builds the snapshot of the tables at `now`.
#[must_use]
pub fn build(world: &control::World, now: Instant) -> control::Snapshot {
    let mut snapshot = control::Snapshot {
        phase: phase(world),
        log_available: world.log_available,
        config: world.catalog.applied(),
        control: world.ledger.applied(),
        control_ready: world.ledger.is_caught_up(),
        evidence_cursor: world
            .driver
            .evidence_fold
            .as_ref()
            .map(|folding| (folding.fence, folding.next)),
        held_fence: leased(world),
        fence: world.ledger.state().lease.as_ref().map(|row| row.fence),
        unrecorded_crashes: world.unrecorded_crashes.clone(),
        applied_configs: in_force(world),
        self_out_of_service: world.is_out_of_service(&world.identity.vm, &world.identity.domain),
        self_state: self_state(world),
        estimates: Arc::clone(&world.estimates),
        quarantine: Arc::clone(&world.quarantine),
        rollouts: rollouts(world),
        ..control::Snapshot::default()
    };
    add_objects(world, &mut snapshot);
    for (key, row) in world.endpoints.iter() {
        let Some(view) = endpoint_view(row) else {
            continue;
        };
        if accepts_work(world, row, now) {
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

/// Returns whether rollouts are known. An entry without the ledger would treat
/// completed rollouts as new ones; a sidecar does not need it.
fn knows_rollouts(world: &control::World) -> bool {
    world.identity.role == fleet::NodeRole::Sidecar || world.ledger.is_caught_up()
}

fn self_state(world: &control::World) -> platform_clients::VmState {
    if world.leaving_reported_by.is_empty() {
        platform_clients::VmState::Live
    } else {
        platform_clients::VmState::Leaving
    }
}

fn leased(world: &control::World) -> Option<ids::Fence> {
    let row = world.ledger.state().lease.as_ref()?;
    let holder = row.holder.as_ref()?;
    let is_mine =
        holder.vm == world.identity.vm && holder.incarnation == world.identity.incarnation;
    is_mine.then_some(row.fence)
}

fn rollouts(world: &control::World) -> HashMap<Arc<str>, rollout::Progress> {
    let rows = world.ledger.state().rollouts.iter();
    rows.map(|(name, row)| (Arc::clone(name), row.progress.clone()))
        .collect()
}

fn in_force(world: &control::World) -> Vec<control::AppliedConfig> {
    let row = |vm: &ids::VmName, role, config| control::AppliedConfig {
        vm: vm.clone(),
        role,
        config,
    };
    let own = row(
        &world.identity.vm,
        world.identity.role,
        world.catalog.applied(),
    );
    let entries = world
        .entries
        .iter()
        .map(|(_, entry)| row(&entry.vm, fleet::NodeRole::Entry, entry.applied_config()));
    let endpoints = world.endpoints.iter().map(|(_, endpoint)| {
        // A report from before the connection was lost may stem from an earlier incarnation.
        let config = endpoint.link.as_ref().and(endpoint.report.config);
        row(&endpoint.vm, fleet::NodeRole::Sidecar, config)
    });
    std::iter::once(own)
        .chain(entries)
        .chain(endpoints)
        .collect()
}

fn phase(world: &control::World) -> control::Phase {
    if world.stopping {
        control::Phase::Stopping
    } else if world.catalog.is_caught_up() && knows_rollouts(world) {
        control::Phase::Serving
    } else {
        control::Phase::Starting
    }
}

fn add_objects(world: &control::World, snapshot: &mut control::Snapshot) {
    for (name, team) in world.teams.iter_named() {
        let view = control::TeamView {
            name: name.clone(),
            max_concurrent: team.max_concurrent,
        };
        snapshot
            .teams
            .extend(team.token_sha256.iter().map(|token| (*token, view.clone())));
    }
    for (name, profile) in world.profiles.iter_named() {
        snapshot
            .profiles
            .insert(name.clone(), Arc::new(profile_view(world, name, profile)));
    }
    for (name, service) in world.services.iter_named() {
        snapshot.services.insert(name.clone(), Arc::clone(service));
    }
    for (name, version) in world.versions.iter_named() {
        snapshot.versions.insert(name.clone(), Arc::clone(version));
    }
    let withdrawn = world
        .versions
        .iter_named()
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
    let plans = world
        .active_rollouts()
        .filter(|(_, plan)| plan.profile == *name);
    for (rollout, plan) in plans {
        let row = world.rollout_row(rollout, plan);
        if let Some(rollout::Progress::Complete(_)) = row.map(|row| &row.progress) {
            continue;
        }
        versions.retain(|version| version.name != plan.version);
        let step = row.and_then(|row| row.progress.step());
        rollouts.extend(step.and_then(|step| rollout_view(world, profile, rollout, plan, step)));
    }
    versions.sort_by_key(|view| {
        view.version
            .cost(REFERENCE_PROMPT_TOKENS, REFERENCE_OUTPUT_TOKENS)
    });
    control::ProfileView {
        name: name.clone(),
        profile: Arc::clone(profile),
        versions,
        rollouts,
    }
}

fn rollout_view(
    world: &control::World,
    profile: &catalog::Profile,
    rollout: &Arc<str>,
    plan: &catalog::RolloutPlan,
    step: u32,
) -> Option<control::RolloutView> {
    let step = profile.rollout_steps.get(usize::try_from(step).ok()?)?;
    Some(control::RolloutView {
        name: Arc::clone(rollout),
        version: version_view(world, &plan.version)?,
        share: step.share,
        allotment: world.allotments.get(rollout).cloned().unwrap_or_default(),
    })
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

fn accepts_work(world: &control::World, row: &control::EndpointRow, now: Instant) -> bool {
    control::World::is_responsive(row.link.as_ref(), now)
        && row.report.accepting
        && row.state == platform_clients::VmState::Live
        && !world.is_out_of_service(&row.vm, &row.domain)
}

fn endpoint_view(row: &control::EndpointRow) -> Option<control::EndpointView> {
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
