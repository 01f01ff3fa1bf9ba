//! Orders endpoints to load versions; the holder of the lease does.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog;
use crate::control;
use crate::fleet;
use crate::ids;
use crate::rollout;
use crate::services;

/// Time after which a load without a result counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);
/// First pause after a failed load; doubled after each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Doublings of the pause; 2 s becomes 2 min.
const MAX_DOUBLINGS: u32 = 6;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let Some((fence, valid_until)) = world.lease.authority(cx.now) else {
        world.driver.loads.clear();
        return;
    };
    note_results(world, cx);
    let busy = world
        .driver
        .loads
        .values()
        .filter(|load| !load.failed)
        .count();
    let wanted = wanted(world, cx.now);
    let free = world.parallel_loads.saturating_sub(busy);
    for (vm, version) in wanted.into_iter().take(free) {
        let key = (vm.clone(), version.clone());
        let tries = world.driver.loads.get(&key).map_or(0, |load| load.tries) + 1;
        log::info!("placement: {vm} is to load {version}, try {tries}, fence {fence}.");
        let load = control::LoadState {
            tries,
            until: cx.now + LOAD_TIMEOUT,
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

fn note_results(world: &mut control::World, cx: &control::TickCx) {
    for event in &cx.events {
        if let control::Event::Ordered { vm, action, done } = event
            && let Some(load) = world.driver.load_mut(vm, action)
            && !done
        {
            fail(load, cx.now);
            log::warn!("placement: {vm} has not carried out {action}.");
        }
    }
    let endpoints = &world.endpoints;
    world.driver.loads.retain(|(vm, version), load| {
        if !load.failed && load.until <= cx.now {
            fail(load, cx.now);
            log::warn!("placement: {vm} has not loaded {version} in time.");
        }
        endpoints
            .by_name(vm)
            .is_some_and(|row| !row.report.versions.contains(version))
    });
}

fn fail(load: &mut control::LoadState, now: Instant) {
    load.failed = true;
    load.until = now + FIRST_PAUSE * 2_u32.pow(load.tries.saturating_sub(1).min(MAX_DOUBLINGS));
}

/// Loads that are wanted and may be ordered now.
fn wanted(world: &control::World, now: Instant) -> Vec<(ids::VmName, ids::VersionName)> {
    let mut wanted = Vec::new();
    for (name, plan) in world.active_rollouts() {
        let Some(row) = world.rollout_row(name, plan) else {
            continue;
        };
        let may_take_all = match &row.progress {
            rollout::Progress::Loading(_) => false,
            rollout::Progress::Stepping(stepping) => stepping.step() > 0,
            rollout::Progress::Complete(_) => true,
            rollout::Progress::Stopped(_) => continue,
        };
        let vms = candidates(world, plan, may_take_all, now);
        wanted.extend(vms.into_iter().map(|vm| (vm, plan.version.clone())));
    }
    wanted.retain(|key| {
        world
            .driver
            .loads
            .get(key)
            .is_none_or(|load| load.failed && load.until <= now)
    });
    wanted
}

/// Endpoints that are to load the plan's version. Before a step has passed
/// one endpoint of each failure domain is left alone, so that a load that
/// disturbs an endpoint never takes the old version from a whole domain.
fn candidates(
    world: &control::World,
    plan: &catalog::RolloutPlan,
    may_take_all: bool,
    now: Instant,
) -> Vec<ids::VmName> {
    let mut rows: Vec<&control::EndpointRow> = world
        .endpoints
        .iter()
        .map(|(_, row)| row)
        .filter(|row| row.report.service.is_none() && row.state == services::VmState::Live)
        .filter(|row| control::World::is_heard(row.link.as_ref(), now))
        .collect();
    rows.sort_by(|a, b| a.vm.cmp(&b.vm));
    let is_served = rows.iter().any(|row| !is_old(row, plan));
    let count = rows.len();
    let first = rows.first().map(|row| row.vm.clone());
    let mut untouched: HashMap<&ids::DomainName, usize> = HashMap::new();
    for row in &rows {
        *untouched.entry(&row.domain).or_default() += usize::from(is_old(row, plan));
    }
    let mut chosen_domains = HashSet::new();
    let mut chosen = Vec::new();
    for row in rows.into_iter().filter(|row| is_old(row, plan)) {
        let left = untouched.entry(&row.domain).or_default();
        let first_of_domain = chosen_domains.insert(&row.domain);
        if may_take_all || (*left > 1 && first_of_domain) {
            *left -= 1;
            chosen.push(row.vm.clone());
        }
    }
    // Where no domain has an endpoint to spare, one endpoint of all is taken.
    if chosen.is_empty() && !is_served && count > 1 {
        chosen.extend(first);
    }
    chosen
}

fn is_old(row: &control::EndpointRow, plan: &catalog::RolloutPlan) -> bool {
    !row.report.versions.contains(&plan.version)
}
