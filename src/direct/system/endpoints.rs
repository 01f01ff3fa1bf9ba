//! Keeps the table of endpoints.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::runtime;

/// Time after which an endpoint that lapsed while the store was away must have
/// reported again; the platform states about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_500);
/// Heartbeats after which the platform removes a silent endpoint's record.
const LAPSE_HEARTBEATS: u32 = 4;

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
    let was_away = world
        .health(direct::Source::Endpoints)
        .was_away(cx.now, lapse_span(world));
    let health = world.health.entry(direct::Source::Endpoints).or_default();
    if health.succeeded(cx.now) {
        log::info!(target: "store", source:% = direct::Source::Endpoints; "store regained");
    }
    for change in &batch.items {
        match change {
            direct::EndpointChange::Seen(record) => seen(world, cx, record),
            direct::EndpointChange::Removed(id) => removed(world, cx, id, was_away),
            direct::EndpointChange::Unusable(_) => {}
        }
    }
    if batch.whole {
        let listed: HashSet<&ids::EndpointId> = batch.items.iter().map(change_id).collect();
        let missing: Vec<_> = world
            .endpoints
            .named()
            .filter(|(id, _)| !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            removed(world, cx, &id, was_away);
        }
        world.listed = true;
    }
}

const fn change_id(change: &direct::EndpointChange) -> &ids::EndpointId {
    match change {
        direct::EndpointChange::Seen(record) => &record.id,
        direct::EndpointChange::Removed(id) | direct::EndpointChange::Unusable(id) => id,
    }
}

/// Time within which a removal may be due to an outage that has just ended.
fn lapse_span(world: &direct::World) -> Duration {
    world.settings.heartbeat.duration() * LAPSE_HEARTBEATS
}

fn seen(world: &mut direct::World, cx: &mut TickCx, record: &direct::EndpointRecord) {
    let cold_span = world
        .deployment
        .as_ref()
        .and_then(|deployment| deployment.services.get(&record.service))
        .and_then(|upstream| upstream.cold_start)
        .map_or(Duration::ZERO, |cold| cold.duration.duration());
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
            lapsed: None,
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
    cx.changed |= restarted || row.lapsed.is_some() || same != *record;
    if cold_until > row.cold_until && record.cold_left.0 > 0 || restarted {
        row.cold_until = row.cold_until.max(cold_until);
        cx.changed = true;
    }
    row.lapsed = None;
    row.record = record.clone();
}

fn removed(world: &mut direct::World, cx: &mut TickCx, id: &ids::EndpointId, was_away: bool) {
    if !was_away {
        if world.endpoints.remove(id).is_some() {
            log::info!(target: "endpoint", endpoint:% = id; "endpoint is gone");
            cx.changed = true;
        }
        return;
    }
    if let Some(row) = world.endpoints.by_name_mut(id)
        && row.lapsed.is_none()
    {
        log::info!(target: "endpoint", endpoint:% = id;
            "record lapsed around an outage of the store, the endpoint stays in use for now");
        row.lapsed = Some(cx.now);
    }
}

fn give_up_lapsed(world: &mut direct::World, cx: &mut TickCx) {
    let Some(well_for) = world.health(direct::Source::Endpoints).well_for(cx.now) else {
        return;
    };
    let now = cx.now;
    let mut gone = false;
    world.endpoints.retain(|id, row| {
        let is_overdue = |lapsed: runtime::Moment| now.since(lapsed).min(well_for) >= RETURN_TIME;
        let keep = !row.lapsed.is_some_and(is_overdue);
        if !keep {
            log::info!(target: "endpoint", endpoint:% = id;
                "endpoint has not come back after the outage and is gone");
            gone = true;
        }
        keep
    });
    cx.changed |= gone;
}
