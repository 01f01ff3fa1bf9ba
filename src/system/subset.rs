//! Chooses the endpoints to which this entry keeps connections.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::control;
use crate::fleet;
use crate::ids;

/// Connections for each version or service. 32 reports of 120 bytes a second
/// are under 4 KB/s.
const MAX_CONNECTIONS: usize = 32;
/// Time between choices: 600 scores on each tick would take more than the
/// budget of the control thread.
const INTERVAL: Duration = Duration::from_secs(2);

/// Runs the system. Up to [`MAX_CONNECTIONS`] endpoints there is nothing to choose.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let due = world.choice_due.is_none_or(|due| due <= cx.now);
    if !due || world.endpoints.len() <= MAX_CONNECTIONS {
        return;
    }
    world.choice_due = Some(cx.now + INTERVAL);
    let wanted = wanted(world);
    let control::World {
        endpoints, dropped, ..
    } = world;
    dropped.retain(|vm| endpoints.by_name(vm).is_some());
    for (_, row) in endpoints.iter_mut() {
        let keep = wanted.contains(&row.vm);
        if !keep && row.link.is_some() {
            row.link = None;
            dropped.insert(row.vm.clone());
            cx.effects.push(control::Effect::Disconnect(row.vm.clone()));
        } else if keep && dropped.remove(&row.vm) {
            cx.effects.push(control::Effect::Connect {
                vm: row.vm.clone(),
                addr: row.addr,
                role: fleet::NodeRole::Sidecar,
            });
        }
    }
}

/// Endpoints that are chosen for something that they serve. Those of which
/// nothing is known are kept as well, to learn what they serve.
fn wanted(world: &control::World) -> HashSet<ids::VmName> {
    let mut wanted = HashSet::new();
    let mut groups: HashMap<&str, Vec<&control::EndpointRow>> = HashMap::new();
    for (_, row) in world.endpoints.iter() {
        let versions = row.report.versions.iter().map(ids::VersionName::as_str);
        let service = row.report.service.iter().map(ids::ServiceName::as_str);
        let mut serves = versions.chain(service).peekable();
        // One that cannot be reached must not take the place of another.
        let reachable = row.link.is_some() || world.dropped.contains(&row.vm);
        if !reachable || serves.peek().is_none() {
            wanted.insert(row.vm.clone());
            continue;
        }
        for name in serves {
            groups.entry(name).or_default().push(row);
        }
    }
    for rows in groups.into_values() {
        let nodes = rows.iter().map(|row| (&row.vm, &row.domain)).collect();
        wanted.extend(choose(&world.me.vm, nodes, MAX_CONNECTIONS));
    }
    wanted
}

/// Takes up to `max` processes, those with the highest scores of each failure
/// domain in turn.
pub(super) fn choose(
    me: &ids::VmName,
    mut nodes: Vec<(&ids::VmName, &ids::DomainName)>,
    max: usize,
) -> Vec<ids::VmName> {
    nodes.sort_by_cached_key(|(vm, _)| Reverse(score(me, vm)));
    let mut domains: HashMap<&ids::DomainName, VecDeque<&ids::VmName>> = HashMap::new();
    for (vm, domain) in nodes {
        domains.entry(domain).or_default().push_back(vm);
    }
    let mut domains: Vec<_> = domains.into_iter().collect();
    domains.sort_by_key(|(name, _)| *name);
    let mut chosen = Vec::new();
    while chosen.len() < max && domains.iter().any(|(_, vms)| !vms.is_empty()) {
        let next = domains.iter_mut().filter_map(|(_, vms)| vms.pop_front());
        chosen.extend(next.cloned());
    }
    chosen.truncate(max);
    chosen
}

/// Rendezvous hashing: each entry ranks the endpoints differently, and a
/// change of the list moves only few connections.
fn score(me: &ids::VmName, vm: &ids::VmName) -> u128 {
    ids::Digest::of_parts(&[me.as_str().as_bytes(), vm.as_str().as_bytes()]).head()
}
