//! System that maintains the table of endpoints.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::peers;
use crate::settings;

/// Time after an outage of the store within which endpoints whose record lapsed
/// during the outage report again; the platform states about two seconds.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);
/// Fraction of a service's endpoints whose simultaneous removal is treated as an
/// outage of the store that this entry has not noticed.
const MASS_REMOVAL_MIN_FRACTION: f64 = 0.3;
/// Minimum number of such removals; fewer may be coincidence.
const MASS_REMOVAL_MIN_COUNT: usize = 2;
/// Fraction of the drain limit that the pause between reads and the retention
/// after such a removal may take together. The rest is for the read itself and
/// the transit of a request.
const RETENTION_DRAIN_FRACTION: f64 = 0.8;

/// Applies the endpoint records of this tick and removes endpoints that have not
/// reported again after an outage of the store.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        if let direct::Event::Endpoints(batch) = event {
            apply(world, cx, batch);
        }
    }
    cx.events = events;
    remove_lapsed(world, cx);
}

fn apply(
    world: &mut direct::World,
    cx: &mut TickCx,
    batch: &direct::Batch<direct::EndpointChange>,
) {
    world.record_read(direct::Source::Endpoints, cx.now);
    let mut removed = Vec::new();
    for change in &batch.items {
        match change {
            // A copy may hold endpoints that have left since.
            direct::EndpointChange::Seen(record)
                if batch.scope == direct::Scope::Restored
                    && world.endpoints.by_name(&record.id).is_none() => {}
            direct::EndpointChange::Seen(record) => {
                removed.retain(|id| *id != record.id);
                apply_report(world, cx, record);
            }
            direct::EndpointChange::Removed(id) => removed.push(id.clone()),
            direct::EndpointChange::Unusable(_) => {}
        }
    }
    if batch.scope == direct::Scope::Complete {
        let listed: HashSet<&ids::EndpointId> = batch.items.iter().map(change_id).collect();
        let missing = world.endpoints.iter_named().map(|(id, _)| id);
        removed.extend(missing.filter(|id| !listed.contains(id)).cloned());
    }
    // A partial listing may never become a whole one.
    world.endpoints_listed |= matches!(
        batch.scope,
        direct::Scope::Complete | direct::Scope::Partial
    );
    remove(world, cx, &removed);
    world.endpoints_confirmed = world.endpoints_confirmed.max(batch.confirmed);
}

/// Removes endpoints, or retains them for a while when an outage of the store
/// may be why their records lapsed. Draining endpoints are never retained.
fn remove(world: &mut direct::World, cx: &mut TickCx, removed: &[ids::EndpointId]) {
    let recovery_deadline = world
        .health(direct::Source::Endpoints)
        .recovered_at()
        .map(|recovered_at| recovered_at.saturating_add(RECOVERY_GRACE))
        .filter(|recovery_deadline| *recovery_deadline > cx.now);
    let mass_services = mass_removals(world, removed);
    let bounds = &world.settings.bounds;
    let confirmed = world.endpoints_confirmed.filter(|_| world.duty.is_follow());
    let unknown = confirmed.map_or(Duration::ZERO, |at| cx.now.saturating_since(at));
    let mass_retention = retention_after_mass_removal(bounds, unknown);
    for id in removed {
        let Some(row) = world.endpoints.by_name_mut(id) else {
            continue;
        };
        let is_mass_removal = mass_services.contains(&row.record.service);
        let until = recovery_deadline
            .or_else(|| is_mass_removal.then(|| cx.now.saturating_add(mass_retention)));
        if let Some(until) = until.filter(|_| !row.record.draining) {
            if row.retained_until.is_none() {
                log::info!(target: "endpoint", endpoint:% = id, until:% = until;
                    "endpoint record lapsed, possibly due to a store outage; kept in use until then");
                row.retained_until = Some(until);
            }
            continue;
        }
        world.endpoints.remove(id);
        log::info!(target: "endpoint", endpoint:% = id; "endpoint removed, its record is gone");
        cx.changed = true;
    }
}

/// Returns how long endpoints that were removed at once stay in use. `unknown` is the time
/// for which a follower may not have known of the removal, of which at most the age counts
/// up to which it follows; zero for an entry that reads for itself.
#[must_use]
pub fn retention_after_mass_removal(bounds: &settings::Bounds, unknown: Duration) -> Duration {
    let source = direct::Source::Endpoints;
    let pause = direct::PollSettings::new(source, bounds).pause;
    let age = peers::FollowLimits::new(source, bounds).age;
    let max_delay = bounds.drain.duration().mul_f64(RETENTION_DRAIN_FRACTION);
    max_delay.saturating_sub(unknown.min(age).max(pause))
}

/// Services that lose many endpoints at once which were not draining.
fn mass_removals(world: &direct::World, removed: &[ids::EndpointId]) -> HashSet<ids::ServiceName> {
    let mut lost: HashMap<&ids::ServiceName, usize> = HashMap::new();
    for id in removed {
        if let Some(row) = world.endpoints.by_name(id)
            && !row.record.draining
        {
            *lost.entry(&row.record.service).or_default() += 1;
        }
    }
    #[allow(clippy::cast_precision_loss)]
    let is_mass_removal = |service: &ids::ServiceName, lost: usize| {
        let all = world.endpoints.iter();
        let count = all
            .filter(|(_, row)| row.record.service == *service)
            .count();
        lost >= MASS_REMOVAL_MIN_COUNT && lost as f64 >= count as f64 * MASS_REMOVAL_MIN_FRACTION
    };
    lost.into_iter()
        .filter(|(service, lost)| is_mass_removal(service, *lost))
        .map(|(service, _)| service.clone())
        .collect()
}

const fn change_id(change: &direct::EndpointChange) -> &ids::EndpointId {
    match change {
        direct::EndpointChange::Seen(record) => &record.id,
        direct::EndpointChange::Removed(id) | direct::EndpointChange::Unusable(id) => id,
    }
}

fn apply_report(world: &mut direct::World, cx: &mut TickCx, record: &direct::EndpointRecord) {
    let cold_span = world.cold_duration(&record.service);
    let mut cold_until = cx.now.saturating_add(record.cold_left.duration());
    let known_at_start = !world.endpoints_listed;
    let share = world.share.of_connections();
    let row = world.endpoints.by_name(&record.id);
    let begins = row.map_or(!known_at_start, |row| record.started > row.record.started);
    // Looks at all endpoints of the service, so not for each record of a listing.
    let usual = begins.then(|| world.usual_wait(&record.service)).flatten();
    let Some(row) = world.endpoints.by_name_mut(&record.id) else {
        if !known_at_start {
            cold_until = cold_until.max(cx.now.saturating_add(cold_span));
        }
        log::info!(target: "endpoint", endpoint:% = record.id, service:% = record.service,
            domain:% = record.domain, version:% = record.version, addr:% = record.addr,
            draining = record.draining, cold_left:% = record.cold_left; "endpoint appeared");
        let row = direct::EndpointRow {
            record: record.clone(),
            live: Arc::default(),
            cold_until,
            retained_until: None,
        };
        if !known_at_start {
            row.start_pace(share, usual);
        }
        if record.draining {
            row.live.leave();
        }
        world.endpoints.upsert(record.id.clone(), row);
        // The record may only have lapsed for a while, with the figures of the endpoint.
        if let Some(limit) = world.limits.get_mut(&record.id) {
            limit.is_unapplied = true;
        }
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
        let usual = balance::usual_wait(row.live.usual_wait(), usual.into_iter());
        row.live = Arc::default();
        row.start_pace(share, usual);
        cold_until = cold_until.max(cx.now.saturating_add(cold_span));
    }
    if record.draining && !row.record.draining {
        log::info!(target: "endpoint", endpoint:% = record.id; "endpoint is draining");
        row.live.leave();
    }
    let unchanged = direct::EndpointRecord {
        sequence: record.sequence,
        cold_left: record.cold_left,
        ..row.record.clone()
    };
    cx.changed |= restarted || row.retained_until.is_some() || unchanged != *record;
    if cold_until > row.cold_until && record.cold_left.0 > 0 || restarted {
        row.cold_until = row.cold_until.max(cold_until);
        cx.changed = true;
    }
    row.retained_until = None;
    row.record = record.clone();
}

fn remove_lapsed(world: &mut direct::World, cx: &mut TickCx) {
    let now = cx.now;
    let mut any_removed = false;
    world.endpoints.retain(|id, row| {
        let keep = row.retained_until.is_none_or(|until| now < until);
        if !keep {
            log::info!(target: "endpoint", endpoint:% = id;
                "endpoint removed, it did not report again in time");
            any_removed = true;
        }
        keep
    });
    cx.changed |= any_removed;
}
