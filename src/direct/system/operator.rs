//! System that applies operator records: configuration, rollouts and failure domains.

use std::collections::HashSet;
use std::sync::Arc;

use crate::catalog;
use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::rollout;

/// Maximum number of withdrawn keys that are logged of one configuration.
const MAX_LOGGED_KEYS: usize = 50;

/// Applies the operator records of this tick, and failed reads of any topic.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        match event {
            direct::Event::Operator(batch) => apply(world, cx, batch),
            direct::Event::ReadFailed(source, reason) => world.record_read_failure(*source, reason),
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
    world.record_read(direct::Source::Operator, cx.now);
    if batch.scope == direct::Scope::Complete {
        withdraw_missing(world, cx, batch);
    }
    for change in &batch.items {
        match change {
            direct::OperatorChange::Deployment(deployment) => {
                world.is_deployment_unreadable = false;
                apply_deployment(world, cx, deployment);
            }
            direct::OperatorChange::UnreadableDeployment => {
                let known = world.deployment.as_ref().map(|known| known.revision);
                log::warn!(target: "catalog", in_force:? = known;
                    "configuration could not be decoded, the one in force is not current any more");
                world.is_deployment_unreadable = true;
            }
            // A copy may hold an order that was withdrawn or replaced since.
            direct::OperatorChange::Rollout { .. } if batch.scope == direct::Scope::Restored => {}
            direct::OperatorChange::Rollout { service, plan } => {
                apply_rollout(world, cx, service, plan.as_ref());
            }
            direct::OperatorChange::DomainOut { domain, out } => {
                apply_domain(world, cx, domain, *out);
            }
        }
    }
    if let Some(as_of) = batch.confirmed
        && !world.is_deployment_unreadable
    {
        let confirmation = direct::Confirmation {
            as_of,
            end: Some(batch.end),
        };
        world.config_confirmed = Some(confirmation.or_later(world.config_confirmed));
    }
}

fn apply_deployment(
    world: &mut direct::World,
    cx: &mut TickCx,
    deployment: &Arc<catalog::Deployment>,
) {
    let current = world.deployment.as_ref().map(|known| known.revision);
    if current.is_some_and(|current| current >= deployment.revision) {
        return;
    }
    log::info!(target: "catalog", revision:% = deployment.revision, routes = deployment.route_count(),
        previous:? = current; "configuration applied");
    if let Some(known) = &world.deployment {
        log_withdrawn_keys(known, deployment);
    }
    world.deployment = Some(Arc::clone(deployment));
    cx.changed = true;
}

/// Logs the keys that only the configuration before has, by their labels.
fn log_withdrawn_keys(before: &catalog::Deployment, deployment: &catalog::Deployment) {
    let (Some(before), Some(teams)) = (&before.teams, &deployment.teams) else {
        return;
    };
    let withdrawn = before.iter().filter(|(key, _)| !teams.contains_key(key));
    for (i, (key, access)) in withdrawn.enumerate() {
        if i == MAX_LOGGED_KEYS {
            log::info!(target: "catalog", revision:% = deployment.revision; "more keys withdrawn");
            return;
        }
        log::info!(target: "catalog", revision:% = deployment.revision, key:% = key.label(),
            team:% = access.team; "key withdrawn");
    }
}

fn apply_rollout(
    world: &mut direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    plan: Option<&direct::RolloutOrder>,
) {
    let Some(order) = plan else {
        if let Some(row) = world.rollouts.remove(service) {
            log::info!(target: "rollout", service:% = service; "rollout order withdrawn");
            withdraw_version(world, service, &row.canary);
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
        duration:% = order.duration; "rollout started");
    let canary = rollout::AnyCanary::begin(
        order.target.clone(),
        order.duration,
        world.settings.bounds.exposure,
        cx.now,
    );
    let replaced = world.rollouts.insert(
        service.clone(),
        direct::RolloutRow {
            order: order.clone(),
            canary,
            evidence: Arc::default(),
            peers: direct::PeerResults::default(),
            shared: direct::Tallies::default(),
            exchange_requested_at: cx.now,
            verdict: rollout::Verdict::default(),
            evaluated_at: cx.now,
            logged: (0, 0),
            logged_at: cx.now,
            recorded: None,
            recorded_at: cx.now,
            report_requested_at: None,
        },
    );
    if let Some(replaced) = replaced {
        withdraw_version(world, service, &replaced.canary);
    }
    world.withdrawn.restore(service, &order.target);
    cx.changed = true;
}

/// Keeps the version of an order that is over out of use if it was rolled back: its
/// endpoints stay in service for some seconds.
fn withdraw_version(
    world: &mut direct::World,
    service: &ids::ServiceName,
    canary: &rollout::AnyCanary,
) {
    if matches!(canary, rollout::AnyCanary::RolledBack(_))
        && world.withdrawn.withdraw(service, canary.target())
    {
        log::info!(target: "rollout", service:% = service, version:% = canary.target();
            "version stays out of use, it was rolled back");
    }
}

fn apply_domain(world: &mut direct::World, cx: &mut TickCx, domain: &ids::DomainName, out: bool) {
    if out {
        if world.domains_out_of_service.insert(domain.clone()) {
            log::info!(target: "catalog", domain:% = domain; "failure domain taken out of service");
            cx.changed = true;
        }
    } else if world.domains_out_of_service.remove(domain) {
        log::info!(target: "catalog", domain:% = domain; "failure domain back in service");
        mark_cold(world, cx, domain);
        cx.changed = true;
    }
}

/// Marks the endpoints of a domain as cold, as they may have become cold while it
/// was out of service. All of them look idle.
fn mark_cold(world: &mut direct::World, cx: &TickCx, domain: &ids::DomainName) {
    let deployment = world.deployment.clone();
    let share = world.share.of_connections();
    for (_, row) in world.endpoints.iter_mut() {
        if row.record.domain == *domain {
            row.start_pace(share, None);
            let span = direct::cold_duration(deployment.as_deref(), &row.record.service);
            row.cold_until = row.cold_until.max(cx.now.saturating_add(span));
        }
    }
}

/// Withdraws rollouts and drains of domains that a complete listing no longer contains.
fn withdraw_missing(
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
            direct::OperatorChange::Deployment(_)
            | direct::OperatorChange::UnreadableDeployment => {}
        }
    }
    let gone: Vec<_> = world
        .rollouts
        .keys()
        .filter(|service| !services.contains(*service))
        .cloned()
        .collect();
    for service in gone {
        apply_rollout(world, cx, &service, None);
    }
    let restored: Vec<_> = world
        .domains_out_of_service
        .difference(&domains)
        .cloned()
        .collect();
    for domain in restored {
        apply_domain(world, cx, &domain, false);
    }
}
