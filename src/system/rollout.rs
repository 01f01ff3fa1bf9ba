//! Advances rollouts through their steps; runs on the lease holder.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::ids;
use crate::ledger;
use crate::rollout;

/// As lease holder, requests the next move of each active rollout that needs one.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let Some((fence, _)) = world.lease.authority(cx.now) else {
        return;
    };
    let moves: Vec<(Arc<str>, ledger::RolloutTransition)> = world
        .active_rollouts()
        .filter_map(|(name, plan)| Some((Arc::clone(name), next_move(world, cx, name, plan)?)))
        .collect();
    for (rollout, to) in moves {
        let line = describe_move(world, &rollout, &to);
        let body = ledger::Body::Rollout { fence, rollout, to };
        if world
            .driver
            .request_append(cx, world.ledger.next_offset(), body)
        {
            log::info!("rollout: {line}, fence {fence}.");
        }
    }
}

/// Returns the move that a rollout needs now; `None` if it has to wait or has ended.
fn next_move(
    world: &control::World,
    cx: &control::TickCx,
    name: &Arc<str>,
    plan: &catalog::RolloutPlan,
) -> Option<ledger::RolloutTransition> {
    let profile = world.profiles.by_name(&plan.profile)?;
    let version = world.versions.by_name(&plan.version)?;
    let Some(row) = world.rollout_row(name, plan) else {
        // A rollout of a withdrawn version would be stopped right after its start.
        return (!version.withdrawn).then(|| ledger::RolloutTransition::Start {
            profile: plan.profile.clone(),
            version: plan.version.clone(),
        });
    };
    match &row.progress {
        rollout::Progress::Loading(_) | rollout::Progress::Stepping(_) if version.withdrawn => {
            Some(ledger::RolloutTransition::Stop(
                "the version was withdrawn".into(),
            ))
        }
        rollout::Progress::Loading(_) => {
            let loaded = !plan.paused && is_served(world, cx, &plan.version);
            loaded.then_some(ledger::RolloutTransition::Step(0))
        }
        rollout::Progress::Stepping(stepping) => {
            let step = stepping.step();
            let plan_step = profile.rollout_steps.get(usize::try_from(step).ok()?);
            let min_ratings = plan_step.map_or(0, |step| step.min_ratings);
            let judgement = rollout::StepDecision::evaluate(
                &row.ratings,
                version.prior_quality,
                profile.quality_target,
                min_ratings,
            );
            move_after(judgement, step, profile, plan)
        }
        rollout::Progress::Complete(_) | rollout::Progress::Stopped(_) => None,
    }
}

fn move_after(
    judgement: rollout::StepDecision,
    step: u32,
    profile: &catalog::Profile,
    plan: &catalog::RolloutPlan,
) -> Option<ledger::RolloutTransition> {
    match judgement {
        rollout::StepDecision::Stop => Some(ledger::RolloutTransition::Stop(
            "the evidence is below the target".into(),
        )),
        rollout::StepDecision::Pass if !plan.paused => {
            let last =
                usize::try_from(step).is_ok_and(|step| step + 1 >= profile.rollout_steps.len());
            Some(if last {
                ledger::RolloutTransition::Complete
            } else {
                ledger::RolloutTransition::Step(step + 1)
            })
        }
        rollout::StepDecision::Pass | rollout::StepDecision::Wait => None,
    }
}

/// Describes a move for the log line.
fn describe_move(world: &control::World, name: &str, to: &ledger::RolloutTransition) -> String {
    let row = world.ledger.state().rollouts.get(name);
    let ratings = row.map_or(0.0, |row| row.ratings.weight);
    match to {
        ledger::RolloutTransition::Start { profile, version } => {
            format!("{name} starts with version {version} in profile {profile}")
        }
        ledger::RolloutTransition::Step(step) => {
            format!("{name} begins step {step} after {ratings:.0} ratings")
        }
        ledger::RolloutTransition::Complete => {
            format!("{name} completes after {ratings:.0} ratings")
        }
        ledger::RolloutTransition::Stop(reason) => {
            format!("{name} stops after {ratings:.0} ratings: {reason}")
        }
    }
}

fn is_served(world: &control::World, cx: &control::TickCx, version: &ids::VersionName) -> bool {
    world.endpoints.iter().any(|(_, row)| {
        control::World::is_responsive(row.link.as_ref(), cx.now)
            && row.report.versions.contains(version)
    })
}
