//! Aggregates evidence into quality estimates and adopts the published ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::control;
use crate::estimate;
use crate::ids;
use crate::ledger;

/// Minimum time between publications.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between publications while a sparsely rated cell has new ratings;
/// until they are published, its class runs on a version that may miss the target.
const SPARSE_PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// New ratings of a sparse cell that cause an early publication; bounds how
/// many early publications a cell can cause.
const SPARSE_NEW_RATINGS: f64 = 4.0;
/// Time in which the weight of a rating decays to half.
const HALF_LIFE: Duration = Duration::from_mins(30);
/// Weight below which a cell is removed; bounds the size of the published record.
const MIN_CELL_WEIGHT: f64 = 0.05;

/// Adopts published estimates and, as lease holder, aggregates evidence and
/// publishes new ones.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    adopt_published(world, cx);
    let Some((fence, _)) = world.lease.authority(cx.now) else {
        cx.changed |= world.driver.evidence_fold.take().is_some();
        return;
    };
    if world
        .driver
        .evidence_fold
        .as_ref()
        .is_none_or(|folding| folding.fence != fence)
    {
        world.driver.evidence_fold = Some(resume(world.ledger.state(), fence, cx.now));
        cx.changed = true;
    }
    sync_steps(world);
    for event in &cx.events {
        if let control::Event::EvidencePage(read_under, page) = event
            && *read_under == fence
        {
            fold_page(&mut world.driver, world.ledger.state(), page);
            cx.changed = true;
        }
    }
    publish(world, cx);
}

fn adopt_published(world: &mut control::World, cx: &mut control::TickCx) {
    let published = &world.ledger.state().published;
    if !cx.ledger_changed || world.estimates_up_to == Some(published.evidence) {
        return;
    }
    let mut estimates = estimate::Estimates::default();
    for (version, class, estimate) in &published.cells {
        estimates.set(version.clone(), *class, *estimate);
    }
    world.estimates_up_to = Some(published.evidence);
    world.estimates = Arc::new(estimates);
    cx.changed = true;
}

/// Creates the aggregate from the state that the last lease holder published.
fn resume(state: &ledger::State, fence: ids::Fence, now: Instant) -> control::EvidenceFold {
    let cells = state.published.cells.iter();
    let steps = state.rollouts.iter();
    control::EvidenceFold {
        fence,
        next: state.published.evidence,
        cells: cells
            .map(|(version, class, estimate)| ((version.clone(), *class), *estimate))
            .collect(),
        steps: steps
            .filter_map(|(name, row)| Some((Arc::clone(name), (row.progress.step()?, row.ratings))))
            .collect(),
        sequences: std::collections::HashMap::new(),
        changed: false,
        published: now,
    }
}

/// Takes a rollout's step ratings from the ledger when its step changes, and
/// drops those of ended rollouts.
fn sync_steps(world: &mut control::World) {
    let Some(folding) = &mut world.driver.evidence_fold else {
        return;
    };
    let rows = &world.ledger.state().rollouts;
    folding.steps.retain(|name, _| rows.contains_key(name));
    for (name, row) in rows {
        let Some(step) = row.progress.step() else {
            folding.steps.remove(name);
            continue;
        };
        let present = folding.steps.get(name).map(|(step, _)| *step);
        if present != Some(step) {
            folding.steps.insert(Arc::clone(name), (step, row.ratings));
        }
    }
}

fn fold_page(
    driver: &mut control::Driver,
    state: &ledger::State,
    page: &control::LogPage<(ids::Offset, Option<estimate::Evidence>)>,
) {
    let Some(folding) = &mut driver.evidence_fold else {
        return;
    };
    folding.next = folding.next.max(page.first_retained);
    for (offset, evidence) in &page.records {
        if *offset < folding.next {
            continue;
        }
        folding.next = offset.next();
        let Some(evidence) = evidence else { continue };
        let instance = (evidence.entry.clone(), evidence.incarnation);
        let last = folding.sequences.insert(instance, evidence.sequence);
        if last.is_some_and(|last| evidence.sequence <= last) {
            continue;
        }
        folding.changed = true;
        for (version, class, ratings) in &evidence.cells {
            let key = (version.clone(), *class);
            folding.cells.entry(key).or_default().merge(ratings);
            for (name, (_, step)) in &mut folding.steps {
                let row = state.rollouts.get(name);
                if row.is_some_and(|row| row.progress.version() == version) {
                    step.merge(ratings);
                }
            }
        }
        for (rollout, spent) in &evidence.spent {
            let key = (
                Arc::clone(rollout),
                evidence.entry.clone(),
                evidence.incarnation,
            );
            let known = driver.spent.entry(key).or_default();
            *known = (*known).max(*spent);
        }
    }
}

fn publish(world: &mut control::World, cx: &mut control::TickCx) {
    let Some(folding) = &mut world.driver.evidence_fold else {
        return;
    };
    let elapsed = cx.now.saturating_duration_since(folding.published);
    let estimates = &world.estimates;
    let has_new_ratings = |((version, class), cell): (&(_, _), &estimate::Estimate)| {
        let known = estimates.weight(version, *class);
        estimates.is_sparse(version, *class) && cell.weight >= known + SPARSE_NEW_RATINGS
    };
    let interval = if folding.cells.iter().any(has_new_ratings) {
        SPARSE_PUBLISH_INTERVAL
    } else {
        PUBLISH_INTERVAL
    };
    if !folding.changed || elapsed < interval {
        return;
    }
    let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
    folding
        .cells
        .values_mut()
        .for_each(|cell| cell.decay(factor));
    folding
        .cells
        .retain(|_, cell| cell.weight >= MIN_CELL_WEIGHT);
    folding.changed = false;
    folding.published = cx.now;
    let cells = folding.cells.iter();
    let steps = folding.steps.iter();
    let body = ledger::Body::Estimates {
        fence: folding.fence,
        evidence: folding.next,
        cells: cells
            .map(|((version, class), estimate)| (version.clone(), *class, *estimate))
            .collect(),
        steps: steps
            .map(|(rollout, (step, ratings))| ledger::StepEvidence {
                rollout: Arc::clone(rollout),
                step: *step,
                ratings: *ratings,
            })
            .collect(),
    };
    cx.append(world.ledger.next_offset(), &ledger::Message::new(body));
}
