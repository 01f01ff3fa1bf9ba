//! Applies what operators write: configuration, roll-outs, failure domains.

use std::collections::HashSet;
use std::sync::Arc;

use crate::catalog;
use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::rollout;

/// Applies the operator's records of this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        match event {
            direct::Event::Operator(batch) => apply(world, cx, batch),
            direct::Event::ReadFailed(source, reason) => world.store_failed(*source, reason),
            _ => {}
        }
    }
    cx.events = events;
}

fn apply(
    world: &mut direct::World,
    cx: &mut TickCx,
    batch: &direct::Batch<direct::OperatorChange>,
) {
    world.store_answered(direct::Source::Operator, cx.now);
    if batch.whole {
        forget_missing(world, cx, batch);
    }
    for change in &batch.items {
        match change {
            direct::OperatorChange::Deployment(deployment) => {
                put_deployment(world, cx, deployment);
            }
            direct::OperatorChange::Rollout { service, plan } => {
                put_rollout(world, cx, service, plan.as_ref());
            }
            direct::OperatorChange::DomainOut { domain, out } => {
                put_domain(world, cx, domain, *out);
            }
        }
    }
    // After the changes: a snapshot without them must not count as current.
    world.freshness.prove(batch.asked);
}

fn put_deployment(
    world: &mut direct::World,
    cx: &mut TickCx,
    deployment: &Arc<catalog::Deployment>,
) {
    let present = world.deployment.as_ref().map(|known| known.revision);
    if present.is_some_and(|present| present >= deployment.revision) {
        return;
    }
    log::info!(target: "catalog", revision:% = deployment.revision, routes = deployment.route_count(),
        previous:? = present; "configuration is in force");
    world.deployment = Some(Arc::clone(deployment));
    cx.changed = true;
}

fn put_rollout(
    world: &mut direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    plan: Option<&direct::RolloutOrder>,
) {
    let Some(order) = plan else {
        if world.rollouts.remove(service).is_some() {
            log::info!(target: "rollout", service:% = service; "order is withdrawn");
            cx.changed = true;
        }
        return;
    };
    if world
        .rollouts
        .get(service)
        .is_some_and(|row| row.order == *order)
    {
        return;
    }
    log::info!(target: "rollout", service:% = service, target_version:% = order.target,
        duration:% = order.duration; "roll-out begins");
    let canary = rollout::AnyCanary::begin(
        order.target.clone(),
        order.duration,
        world.settings.bounds.exposure,
        cx.now,
    );
    world.rollouts.insert(
        service.clone(),
        direct::RolloutRow {
            order: order.clone(),
            canary,
            evidence: Arc::default(),
            reported: None,
            reported_at: cx.now,
            asked: None,
        },
    );
    cx.changed = true;
}

fn put_domain(world: &mut direct::World, cx: &mut TickCx, domain: &ids::DomainName, out: bool) {
    if out {
        if world.domains_out.insert(domain.clone()) {
            log::info!(target: "catalog", domain:% = domain; "failure domain is out");
            cx.changed = true;
        }
    } else if world.domains_out.remove(domain) {
        log::info!(target: "catalog", domain:% = domain; "failure domain is back");
        chill(world, cx, domain);
        cx.changed = true;
    }
}

/// Endpoints of a domain that was out may have become cold meanwhile.
fn chill(world: &mut direct::World, cx: &TickCx, domain: &ids::DomainName) {
    let deployment = world.deployment.clone();
    for (_, row) in world.endpoints.iter_mut() {
        if row.record.domain == *domain {
            let span = direct::cold_span(deployment.as_deref(), &row.record.service);
            row.cold_until = row.cold_until.max(cx.now.after(span));
        }
    }
}

/// Withdraws roll-outs and evacuations that a whole listing no longer has.
fn forget_missing(
    world: &mut direct::World,
    cx: &mut TickCx,
    batch: &direct::Batch<direct::OperatorChange>,
) {
    let mut services = HashSet::new();
    let mut domains = HashSet::new();
    for change in &batch.items {
        match change {
            direct::OperatorChange::Rollout { service, .. } => {
                services.insert(service.clone());
            }
            direct::OperatorChange::DomainOut { domain, .. } => {
                domains.insert(domain.clone());
            }
            direct::OperatorChange::Deployment(_) => {}
        }
    }
    let gone: Vec<_> = world
        .rollouts
        .keys()
        .filter(|service| !services.contains(*service))
        .cloned()
        .collect();
    for service in gone {
        put_rollout(world, cx, &service, None);
    }
    let back: Vec<_> = world.domains_out.difference(&domains).cloned().collect();
    for domain in back {
        put_domain(world, cx, &domain, false);
    }
}
