//! Divides the answers of roll-outs among entries, and reads the own part.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::ids;
use crate::ledger;
use crate::rollout;
use crate::services;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    if cx.ledger_changed {
        read_own(world);
    }
    let Some((fence, _)) = world.lease.authority(cx.now) else {
        return;
    };
    let bodies: Vec<ledger::Body> = world
        .active_rollouts()
        .filter(|(_, plan)| !plan.paused)
        .filter_map(|(name, plan)| grants(world, fence, name, plan))
        .collect();
    for body in bodies {
        let line = line(&body);
        if world.driver.ask(cx, world.ledger.next_offset(), body)
            && let Some(line) = line
        {
            log::info!("rollout: {line}.");
        }
    }
}

fn line(body: &ledger::Body) -> Option<String> {
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
        "{rollout} step {step}: {entries} entries get more answers, bound {bound}"
    ))
}

/// An entry spends only what is granted to its own run.
fn read_own(world: &mut control::World) {
    let control::World {
        ledger,
        allotments,
        me,
        ..
    } = world;
    let rows = &ledger.state().rollouts;
    allotments.retain(|name, _| rows.contains_key(name));
    for (name, row) in rows {
        let total = row.grant_of(&me.vm, me.incarnation);
        let allotment = allotments.entry(Arc::clone(name)).or_default();
        if allotment.granted() > total {
            // The name is used again for another version.
            *allotment = Arc::new(rollout::Allotment::new(total));
        }
        allotment.raise_to(total);
    }
}

fn grants(
    world: &control::World,
    fence: ids::Fence,
    name: &Arc<str>,
    plan: &catalog::RolloutPlan,
) -> Option<ledger::Body> {
    let row = world.rollout_row(name, plan)?;
    let step = row.progress.step()?;
    let bound = world.profiles.by_name(&plan.profile)?.max_exposure;
    let grants = rollout::divide(row, bound, &live(world, name));
    (!grants.is_empty()).then(|| ledger::Body::Allotment {
        fence,
        rollout: Arc::clone(name),
        step,
        bound,
        grants,
    })
}

/// Runs of entries that are live, with what they have spent.
fn live(world: &control::World, name: &Arc<str>) -> Vec<(ids::VmName, ids::Incarnation, u64)> {
    let spent = |vm: &ids::VmName, run| {
        let key = (Arc::clone(name), vm.clone(), run);
        world.driver.spent.get(&key).copied().unwrap_or(0)
    };
    let own = world.allotments.get(name).map_or(0, |own| own.spent());
    let mut live = vec![(world.me.vm.clone(), world.me.incarnation, own)];
    for (_, row) in world.entries.iter() {
        // Most entries are known only through others. A grant to one that is
        // dead but still listed is lost, which keeps to the bound.
        let linked = row.link.as_ref().map(|link| link.incarnation);
        let told = row.member.as_ref().map(|member| member.incarnation);
        if let Some(run) = linked.max(told)
            && row.state == services::VmState::Live
        {
            live.push((row.vm.clone(), run, spent(&row.vm, run)));
        }
    }
    live
}
