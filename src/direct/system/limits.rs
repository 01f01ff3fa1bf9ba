//! System that shares the limits which endpoints name among the entries.
//!
//! Load pattern: an endpoint names a limit to the entries that send it requests, and most
//! entries have no part of it then. These could not learn from an answer that it is over.

use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::route;

/// Delay after which an entry publishes a change, unless another has by then. The holder of
/// the first lease for the endpoint publishes at once.
const FOLLOWER_DELAY: Duration = Duration::from_secs(1);
/// Time over which the other entries spread that delay, and after which a change is published
/// again if it is not on record.
const REPUBLISH_DELAY: Duration = Duration::from_secs(2);
/// Time for which the limit of an incarnation that is gone stays on record; the endpoint may
/// only have lost its own record for a while.
const GONE_DELAY: Duration = Duration::from_secs(30);

/// Applies the limits that other entries have shared, and publishes those that this entry
/// has learnt from answers.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        match event {
            direct::Event::LimitNamed(endpoint) => {
                let delay = publish_delay(world, endpoint, cx);
                let row = world.limits.entry(endpoint.clone()).or_default();
                row.publish_at.get_or_insert(cx.now.saturating_add(delay));
            }
            direct::Event::LimitReports(batch) => {
                record(world, batch);
                if batch.scope == direct::Scope::Restored {
                    publish_again(world, cx);
                }
            }
            _ => {}
        }
    }
    let ids: Vec<_> = world.limits.keys().cloned().collect();
    for id in ids {
        update(world, cx, &id);
    }
    world
        .limits
        .retain(|_, row| *row != direct::LimitRow::default());
}

fn publish_delay(world: &direct::World, endpoint: &ids::EndpointId, cx: &TickCx) -> Duration {
    let leases = world.leases(cx.now);
    if leases.is_first(endpoint) {
        return Duration::ZERO;
    }
    let entry = ids::Fingerprint::fnv1a(world.settings.vm.as_str());
    #[allow(clippy::cast_precision_loss)]
    let spread = route::rank_of(entry, endpoint.as_str()) as f64 / u64::MAX as f64;
    FOLLOWER_DELAY + REPUBLISH_DELAY.mul_f64(spread)
}

/// Records what the store holds. A complete listing without an endpoint means that its limit
/// is over, unless this entry is about to publish it.
fn record(world: &mut direct::World, batch: &direct::Batch<direct::LimitReport>) {
    if batch.scope.reaches_all_keys() {
        for (id, row) in &mut world.limits {
            let is_listed = batch.items.iter().any(|report| report.endpoint == *id);
            if !is_listed && row.recorded.take().is_some() {
                let is_over = batch.scope == direct::Scope::Complete;
                row.is_unapplied = is_over && row.publish_at.is_none();
            }
        }
    }
    for report in &batch.items {
        let row = world.limits.entry(report.endpoint.clone()).or_default();
        row.recorded = report.limit;
        row.is_unapplied = true;
    }
}

/// Publishes all that this entry knows, as its records may be lost.
fn publish_again(world: &mut direct::World, cx: &TickCx) {
    let named = world.endpoints.iter_named();
    let named = named.filter(|(_, row)| row.live.named_limit().is_some());
    let ids: Vec<_> = named.map(|(id, _)| id.clone()).collect();
    for id in ids {
        let due = cx.now.saturating_add(publish_delay(world, &id, cx));
        let row = world.limits.entry(id).or_default();
        row.publish_at.get_or_insert(due);
    }
}

/// Applies a changed record to the endpoint, and publishes what is not on record yet.
fn update(world: &mut direct::World, cx: &mut TickCx, id: &ids::EndpointId) {
    let leases = world.leases(cx.now);
    let endpoint = world.endpoints.by_name(id);
    let Some(row) = world.limits.get_mut(id) else {
        return;
    };
    let started = endpoint.map(|endpoint| endpoint.record.started);
    // Records of the endpoints are read apart, so that the endpoint may not be known yet.
    let is_ahead = |limit: &direct::NamedLimit| started.is_none_or(|at| limit.started > at);
    let in_force = row.recorded.filter(|limit| Some(limit.started) == started);
    if let Some(endpoint) = endpoint
        && row.is_unapplied
        && !row.recorded.as_ref().is_some_and(is_ahead)
    {
        row.is_unapplied = false;
        if endpoint.live.name_limit(in_force.map(|limit| limit.rate)) {
            log::info!(target: "endpoint", endpoint:% = id,
                limit = in_force.map(|limit| limit.rate.get()), source = "store";
                "limit of an endpoint learnt from another entry");
        }
    }
    let is_obsolete = row.recorded.is_some() && in_force.is_none();
    if is_obsolete && world.endpoints_listed && leases.is_first(id) {
        row.publish_at
            .get_or_insert(cx.now.saturating_add(GONE_DELAY));
    }
    if row.publish_at.is_none_or(|due| cx.now < due) {
        return;
    }
    let known = endpoint.and_then(|endpoint| {
        Some(direct::NamedLimit {
            rate: endpoint.live.named_limit()?,
            started: endpoint.record.started,
        })
    });
    if known == row.recorded {
        row.publish_at = None;
        return;
    }
    row.publish_at = Some(cx.now.saturating_add(REPUBLISH_DELAY));
    let report = direct::LimitReport {
        endpoint: id.clone(),
        limit: known,
    };
    cx.effects.push(direct::Effect::PublishLimit(report));
}
