//! Builds the snapshot for traffic.

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog;
use crate::direct;
use crate::ids;
use crate::rollout;

/// Builds the snapshot from the tables. Draining endpoints, those in failure domains out
/// of service and those of versions that were rolled back are left out.
#[must_use]
pub fn build(world: &direct::World) -> direct::Snapshot {
    let services = world
        .deployment
        .as_ref()
        .map_or_else(HashMap::new, |deployment| {
            deployment
                .services
                .iter()
                .map(|(name, upstream)| (name.clone(), Arc::new(view(world, name, upstream))))
                .collect()
        });
    direct::Snapshot {
        deployment: world.deployment.clone(),
        services,
        suspects: Arc::clone(&world.suspects),
        freshness: Arc::new(direct::Freshness::new(world.config_confirmed)),
        share: world.share.clone(),
        share_freshness: Arc::new(direct::Freshness::new(world.share_confirmed)),
        duty: Arc::clone(&world.duty),
    }
}

fn view(
    world: &direct::World,
    name: &ids::ServiceName,
    upstream: &Arc<catalog::Upstream>,
) -> direct::ServiceView {
    let rollout = world.rollouts.get(name);
    let mut endpoints: Vec<_> = world
        .endpoints
        .iter()
        .filter(|(_, row)| {
            row.record.service == *name
                && !row.record.draining
                && !world.domains_out_of_service.contains(&row.record.domain)
                && !world.withdrawn.contains(name, &row.record.version)
        })
        .map(|(_, row)| {
            Arc::new(direct::EndpointView {
                record: row.record.clone(),
                live: Arc::clone(&row.live),
                cold_until: row.cold_until,
                region: world.settings.regions.get(&row.record.domain).cloned(),
                is_engine: upstream.is_engine,
            })
        })
        .collect();
    endpoints.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    direct::ServiceView {
        upstream: Arc::clone(upstream),
        endpoints,
        split: version_split(world, rollout),
        evidence: rollout
            .filter(|row| !matches!(row.canary, rollout::AnyCanary::RolledBack(_)))
            .map(|row| Arc::clone(&row.evidence)),
    }
}

/// A process that has just started may know a rollout order before the stage that
/// other entries have reached, and must not use a version that was rolled back.
fn version_split(
    world: &direct::World,
    rollout: Option<&direct::RolloutRow>,
) -> direct::VersionSplit {
    match rollout {
        None => direct::VersionSplit::All,
        Some(row) if world.reports_end.is_none() => {
            direct::VersionSplit::StageUnknown(row.order.target.clone())
        }
        Some(row) => direct::VersionSplit::Canary(row.canary.clone()),
    }
}
