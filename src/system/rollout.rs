//! Moves roll-outs on; the holder of the lease does.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::ids;
use crate::ledger;
use crate::rollout;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let Some((fence, _)) = world.lease.authority(cx.now) else {
        return;
    };
    let moves: Vec<(Arc<str>, ledger::Move)> = world
        .rollouts
        .named()
        .filter_map(|(name, plan)| Some((Arc::clone(name), next(world, cx, name, plan)?)))
        .collect();
    for (rollout, to) in moves {
        let body = ledger::Body::Rollout { fence, rollout, to };
        world.driver.ask(cx, world.ledger.next_offset(), body);
    }
}

/// The move that a roll-out needs now.
fn next(
    world: &control::World,
    cx: &control::TickCx,
    name: &Arc<str>,
    plan: &catalog::RolloutPlan,
) -> Option<ledger::Move> {
    let profile = world.profiles.by_name(&plan.profile)?;
    let version = world.versions.by_name(&plan.version)?;
    let Some(row) = world.rollout_row(name, plan) else {
        return Some(ledger::Move::Start {
            profile: plan.profile.clone(),
            version: plan.version.clone(),
        });
    };
    match &row.progress {
        rollout::Progress::Loading(_) | rollout::Progress::Stepping(_) if version.withdrawn => {
            Some(stop(name, "the version was withdrawn"))
        }
        rollout::Progress::Loading(_) => {
            let loaded = !plan.paused && is_served(world, cx, &plan.version);
            loaded.then(|| {
                log::info!("rollout: {name} is loaded and begins step 0.");
                ledger::Move::Step(0)
            })
        }
        rollout::Progress::Stepping(stepping) => {
            let step = stepping.step();
            let plan_step = profile.rollout_steps.get(usize::try_from(step).ok()?);
            let min_ratings = plan_step.map_or(0, |step| step.min_ratings);
            let ratings = &row.ratings;
            let judgement = rollout::Judgement::of(
                ratings,
                version.prior_quality,
                profile.quality_target,
                min_ratings,
            );
            judged(judgement, name, step, profile, plan, ratings)
        }
        rollout::Progress::Complete(_) | rollout::Progress::Stopped(_) => None,
    }
}

fn judged(
    judgement: rollout::Judgement,
    name: &Arc<str>,
    step: u32,
    profile: &catalog::Profile,
    plan: &catalog::RolloutPlan,
    ratings: &estimate::Estimate,
) -> Option<ledger::Move> {
    match judgement {
        rollout::Judgement::Stop => Some(stop(name, "the evidence is below the target")),
        rollout::Judgement::Pass if !plan.paused => {
            log::info!(
                "rollout: {name} passes step {step} with {} ratings.",
                ratings.weight
            );
            let last =
                usize::try_from(step).is_ok_and(|step| step + 1 >= profile.rollout_steps.len());
            Some(if last {
                ledger::Move::Complete
            } else {
                ledger::Move::Step(step + 1)
            })
        }
        rollout::Judgement::Pass | rollout::Judgement::Wait => None,
    }
}

fn stop(name: &Arc<str>, reason: &str) -> ledger::Move {
    log::warn!("rollout: {name} stops: {reason}.");
    ledger::Move::Stop(reason.into())
}

fn is_served(world: &control::World, cx: &control::TickCx, version: &ids::VersionName) -> bool {
    world.endpoints.iter().any(|(_, row)| {
        control::World::is_heard(row.link.as_ref(), cx.now) && row.report.versions.contains(version)
    })
}
