//! Divides the answer quota of each rollout among the entries, and follows this
//! entry's own share.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::ids;
use crate::ledger;
use crate::platform_clients;
use crate::rollout;

/// Updates this entry's allotments and, as lease holder, requests new grants.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    if cx.ledger_changed {
        update_own(world);
    }
    let Some((fence, _)) = world.lease.authority(cx.now) else {
        return;
    };
    let bodies: Vec<ledger::Body> = world
        .active_rollouts()
        .filter(|(_, plan)| !plan.paused)
        .filter_map(|(name, plan)| new_grants(world, fence, name, plan))
        .collect();
    for body in bodies {
        let line = describe_grants(&body);
        if world
            .driver
            .request_append(cx, world.ledger.next_offset(), body)
            && let Some(line) = line
        {
            log::info!("rollout: {line}.");
        }
    }
}

fn describe_grants(body: &ledger::Body) -> Option<String> {
    let ledger::Body::Allotment {
        rollout,
        step,
        bound,
        grants,
        ..
    } = body
    else {
        return None;
    };
    let entries = grants.len();
    Some(format!(
        "{rollout} step {step}: granted more answers to {entries} entries, bound {bound}"
    ))
}

/// Raises this entry's allotments to the totals granted to its own incarnation;
/// an entry spends nothing that was granted to an earlier one.
fn update_own(world: &mut control::World) {
    let control::World {
        ledger,
        allotments,
        identity,
        ..
    } = world;
    let rows = &ledger.state().rollouts;
    allotments.retain(|name, _| rows.contains_key(name));
    for (name, row) in rows {
        let total = row.grant_of(&identity.vm, identity.incarnation);
        let allotment = allotments.entry(Arc::clone(name)).or_default();
        if allotment.granted() > total {
            // The rollout name was reused for another version.
            *allotment = Arc::new(rollout::Allotment::new(total));
        }
        allotment.raise_to(total);
    }
}

fn new_grants(
    world: &control::World,
    fence: ids::Fence,
    name: &Arc<str>,
    plan: &catalog::RolloutPlan,
) -> Option<ledger::Body> {
    let row = world.rollout_row(name, plan)?;
    let step = row.progress.step()?;
    let bound = world.profiles.by_name(&plan.profile)?.max_exposure;
    let grants = rollout::divide(row, bound, &live_entries(world, name));
    (!grants.is_empty()).then(|| ledger::Body::Allotment {
        fence,
        rollout: Arc::clone(name),
        step,
        bound,
        grants,
    })
}

/// Returns the incarnations of live entries with the answers that they have spent.
fn live_entries(
    world: &control::World,
    name: &Arc<str>,
) -> Vec<(ids::VmName, ids::Incarnation, u64)> {
    let spent = |vm: &ids::VmName, incarnation| {
        let key = (Arc::clone(name), vm.clone(), incarnation);
        world.driver.spent.get(&key).copied().unwrap_or(0)
    };
    let own = world
        .allotments
        .get(name)
        .map_or(0, |own| own.answers_used());
    let mut live_entries = vec![(world.identity.vm.clone(), world.identity.incarnation, own)];
    for (_, row) in world.entries.iter() {
        // Most entries are known only by gossip. A grant to one that is dead but
        // still listed is lost; the bound still holds.
        let connected = row.link.as_ref().map(|link| link.incarnation);
        let gossiped = row.member.as_ref().map(|member| member.incarnation);
        if let Some(incarnation) = connected.max(gossiped)
            && row.state == platform_clients::VmState::Live
        {
            live_entries.push((row.vm.clone(), incarnation, spent(&row.vm, incarnation)));
        }
    }
    live_entries
}
