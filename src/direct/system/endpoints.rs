//! Keeps the table of endpoints.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;

/// Time after the return of the store in which endpoints whose record lapsed
/// meanwhile report again; the platform states about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);
/// Part of a service's endpoints whose removal at once is taken for an outage
/// that this entry has not noticed.
const MASS_PART: f64 = 0.3;
/// Removals that are an outage rather than chance.
const MASS_LEAST: usize = 2;
/// Part of the time in which a leaving endpoint may still get work that a late
/// read and the hold after such a removal may take; the rest is for the read
/// itself and the way of a request.
const LEAVING_PART: f64 = 0.8;

/// Applies the endpoints' records of this tick, and gives up those that have
/// not come back after an outage of the store.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        if let direct::Event::Endpoints(batch) = event {
            apply(world, cx, batch);
        }
    }
    cx.events = events;
    give_up_lapsed(world, cx);
}

fn apply(
    world: &mut direct::World,
    cx: &mut TickCx,
    batch: &direct::Batch<direct::EndpointChange>,
) {
    world.store_answered(direct::Source::Endpoints, cx.now);
    let mut gone = Vec::new();
    for change in &batch.items {
        match change {
            direct::EndpointChange::Seen(record) => {
                gone.retain(|id| *id != record.id);
                seen(world, cx, record);
            }
            direct::EndpointChange::Removed(id) => gone.push(id.clone()),
            direct::EndpointChange::Unusable(_) => {}
        }
    }
    if batch.whole {
        let listed: HashSet<&ids::EndpointId> = batch.items.iter().map(change_id).collect();
        let missing = world.endpoints.named().map(|(id, _)| id);
        gone.extend(missing.filter(|id| !listed.contains(id)).cloned());
        world.listed = true;
    }
    remove(world, cx, &gone);
}

/// Removes endpoints, or keeps them for a while where an outage of the store
/// may have removed their records.
fn remove(world: &mut direct::World, cx: &mut TickCx, gone: &[ids::EndpointId]) {
    let back_by = world
        .health(direct::Source::Endpoints)
        .returned_at()
        .map(|returned| returned.after(RETURN_TIME))
        .filter(|back_by| *back_by > cx.now);
    let mass = masses(world, gone);
    let bounds = &world.settings.bounds;
    let pause = direct::Pace::new(direct::Source::Endpoints, bounds).pause;
    let longest = bounds.drain.duration().mul_f64(LEAVING_PART);
    let mass_hold = longest.saturating_sub(pause);
    for id in gone {
        let Some(row) = world.endpoints.by_name_mut(id) else {
            continue;
        };
        let is_mass = mass.contains(&row.record.service);
        let until = back_by.or_else(|| is_mass.then(|| cx.now.after(mass_hold)));
        if let Some(until) = until.filter(|_| !row.record.draining) {
            if row.lapsed_until.is_none() {
                log::info!(target: "endpoint", endpoint:% = id, until:% = until;
                    "record lapsed around an outage of the store, the endpoint stays in use for now");
                row.lapsed_until = Some(until);
            }
            continue;
        }
        world.endpoints.remove(id);
        log::info!(target: "endpoint", endpoint:% = id; "endpoint is gone");
        cx.changed = true;
    }
}

/// Services that lose many endpoints at once which did not say that they leave.
fn masses(world: &direct::World, gone: &[ids::EndpointId]) -> HashSet<ids::ServiceName> {
    let mut lost: HashMap<&ids::ServiceName, usize> = HashMap::new();
    for id in gone {
        if let Some(row) = world.endpoints.by_name(id)
            && !row.record.draining
        {
            *lost.entry(&row.record.service).or_default() += 1;
        }
    }
    #[allow(clippy::cast_precision_loss)]
    let is_mass = |service: &ids::ServiceName, lost: usize| {
        let all = world.endpoints.iter();
        let count = all
            .filter(|(_, row)| row.record.service == *service)
            .count();
        lost >= MASS_LEAST && lost as f64 >= count as f64 * MASS_PART
    };
    lost.into_iter()
        .filter(|(service, lost)| is_mass(service, *lost))
        .map(|(service, _)| service.clone())
        .collect()
}

const fn change_id(change: &direct::EndpointChange) -> &ids::EndpointId {
    match change {
        direct::EndpointChange::Seen(record) => &record.id,
        direct::EndpointChange::Removed(id) | direct::EndpointChange::Unusable(id) => id,
    }
}

fn seen(world: &mut direct::World, cx: &mut TickCx, record: &direct::EndpointRecord) {
    let cold_span = world.cold_span(&record.service);
    let mut cold_until = cx.now.after(record.cold_left.duration());
    let known_at_start = !world.listed;
    let Some(row) = world.endpoints.by_name_mut(&record.id) else {
        if !known_at_start {
            cold_until = cold_until.max(cx.now.after(cold_span));
        }
        log::info!(target: "endpoint", endpoint:% = record.id, service:% = record.service,
            domain:% = record.domain, version:% = record.version, addr:% = record.addr,
            draining = record.draining, cold_left:% = record.cold_left; "endpoint appeared");
        let row = direct::EndpointRow {
            record: record.clone(),
            live: Arc::default(),
            cold_until,
            lapsed_until: None,
        };
        world.endpoints.put(record.id.clone(), row);
        cx.changed = true;
        return;
    };
    if !record.supersedes(&row.record) {
        return;
    }
    let restarted = record.started > row.record.started;
    if restarted {
        log::info!(target: "endpoint", endpoint:% = record.id, started:% = record.started;
            "endpoint has started again");
        row.live = Arc::default();
        cold_until = cold_until.max(cx.now.after(cold_span));
    }
    if record.draining && !row.record.draining {
        log::info!(target: "endpoint", endpoint:% = record.id; "endpoint leaves");
    }
    let same = direct::EndpointRecord {
        sequence: record.sequence,
        cold_left: record.cold_left,
        ..row.record.clone()
    };
    cx.changed |= restarted || row.lapsed_until.is_some() || same != *record;
    if cold_until > row.cold_until && record.cold_left.0 > 0 || restarted {
        row.cold_until = row.cold_until.max(cold_until);
        cx.changed = true;
    }
    row.lapsed_until = None;
    row.record = record.clone();
}

fn give_up_lapsed(world: &mut direct::World, cx: &mut TickCx) {
    let now = cx.now;
    let mut gone = false;
    world.endpoints.retain(|id, row| {
        let keep = row.lapsed_until.is_none_or(|until| now < until);
        if !keep {
            log::info!(target: "endpoint", endpoint:% = id;
                "endpoint has not come back and is gone");
            gone = true;
        }
        keep
    });
    cx.changed |= gone;
}
