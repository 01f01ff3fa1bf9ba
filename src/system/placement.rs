//! Orders endpoints to load the versions in rollout; runs on the lease holder.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog;
use crate::control;
use crate::fleet;
use crate::ids;
use crate::platform_clients;
use crate::rollout;

/// Time after which a load that the endpoint has not reported counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Pause before the first retry of a failed load; doubled after each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the pause, from 2 s to 2 min.
const MAX_DOUBLINGS: u32 = 6;

/// Processes load results and orders the next loads, within the limit on parallel loads.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let Some((fence, valid_until)) = world.lease.authority(cx.now) else {
        world.driver.loads.clear();
        return;
    };
    process_results(world, cx);
    let busy = world
        .driver
        .loads
        .values()
        .filter(|load| !load.failed)
        .count();
    let due_loads = due_loads(world, cx.now);
    let available = world.parallel_loads.saturating_sub(busy);
    for (vm, version) in due_loads.into_iter().take(available) {
        let key = (vm.clone(), version.clone());
        let attempts = world.driver.loads.get(&key).map_or(0, |load| load.attempts) + 1;
        log::info!(
            "placement: ordering {vm} to load {version}, attempt {attempts}, fence {fence}."
        );
        let load = control::LoadState {
            attempts,
            deadline: cx.now + LOAD_TIMEOUT,
            failed: false,
        };
        world.driver.loads.insert(key, load);
        cx.effects.push(control::Effect::Order {
            vm,
            fence,
            valid_until,
            action: fleet::OrderAction::Load(version),
        });
    }
}

fn process_results(world: &mut control::World, cx: &control::TickCx) {
    for event in &cx.events {
        if let control::Event::OrderFinished { vm, action, done } = event
            && let Some(load) = world.driver.load_mut(vm, action)
            && !done
        {
            mark_failed(load, cx.now);
            log::warn!("placement: {vm} did not confirm the order {action}.");
        }
    }
    let endpoints = &world.endpoints;
    world.driver.loads.retain(|(vm, version), load| {
        if !load.failed && load.deadline <= cx.now {
            mark_failed(load, cx.now);
            log::warn!("placement: {vm} did not load {version} within {LOAD_TIMEOUT:?}.");
        }
        endpoints
            .by_name(vm)
            .is_some_and(|row| !row.report.versions.contains(version))
    });
}

fn mark_failed(load: &mut control::LoadState, now: Instant) {
    load.failed = true;
    load.deadline =
        now + FIRST_RETRY_PAUSE * 2_u32.pow(load.attempts.saturating_sub(1).min(MAX_DOUBLINGS));
}

/// Returns the loads that active rollouts require and that may be ordered now.
fn due_loads(world: &control::World, now: Instant) -> Vec<(ids::VmName, ids::VersionName)> {
    let mut due_loads = Vec::new();
    for (name, plan) in world.active_rollouts() {
        let Some(row) = world.rollout_row(name, plan) else {
            continue;
        };
        let may_use_all = match &row.progress {
            rollout::Progress::Loading(_) => false,
            rollout::Progress::Stepping(stepping) => stepping.step() > 0,
            rollout::Progress::Complete(_) => true,
            rollout::Progress::Stopped(_) => continue,
        };
        let vms = candidates(world, plan, may_use_all, now);
        due_loads.extend(vms.into_iter().map(|vm| (vm, plan.version.clone())));
    }
    due_loads.retain(|key| {
        world
            .driver
            .loads
            .get(key)
            .is_none_or(|load| load.failed && load.deadline <= now)
    });
    due_loads
}

/// Returns the endpoints that are to load the plan's version. Until a step has
/// passed, one endpoint per failure domain is not selected, so that a load that
/// disturbs its endpoint cannot remove the old version from an entire domain.
fn candidates(
    world: &control::World,
    plan: &catalog::RolloutPlan,
    may_use_all: bool,
    now: Instant,
) -> Vec<ids::VmName> {
    let mut rows: Vec<&control::EndpointRow> = world
        .endpoints
        .iter()
        .map(|(_, row)| row)
        .filter(|row| row.report.service.is_none() && row.state == platform_clients::VmState::Live)
        .filter(|row| control::World::is_responsive(row.link.as_ref(), now))
        .collect();
    rows.sort_by(|a, b| a.vm.cmp(&b.vm));
    let is_served = rows.iter().any(|row| !lacks_version(row, plan));
    let count = rows.len();
    let first = rows.first().map(|row| row.vm.clone());
    let mut without_version: HashMap<&ids::DomainName, usize> = HashMap::new();
    for row in &rows {
        *without_version.entry(&row.domain).or_default() += usize::from(lacks_version(row, plan));
    }
    let mut chosen_domains = HashSet::new();
    let mut chosen = Vec::new();
    for row in rows.into_iter().filter(|row| lacks_version(row, plan)) {
        let remaining = without_version.entry(&row.domain).or_default();
        let first_of_domain = chosen_domains.insert(&row.domain);
        if may_use_all || (*remaining > 1 && first_of_domain) {
            *remaining -= 1;
            chosen.push(row.vm.clone());
        }
    }
    // If no domain has a spare endpoint, a single one is selected overall,
    // unless the version is already served or there is only one endpoint.
    if chosen.is_empty() && !is_served && count > 1 {
        chosen.extend(first);
    }
    chosen
}

fn lacks_version(row: &control::EndpointRow, plan: &catalog::RolloutPlan) -> bool {
    !row.report.versions.contains(&plan.version)
}
