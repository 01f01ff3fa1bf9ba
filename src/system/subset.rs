//! Selects the endpoints to which this entry keeps connections.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::control;
use crate::fleet;
use crate::ids;

/// Maximum number of connections for each version or service. 32 reports of
/// 120 bytes a second take less than 4 KB/s.
const MAX_CONNECTIONS: usize = 32;
/// Time between selections. Computing 600 scores in each tick would exceed the
/// budget of the control thread.
const SELECTION_INTERVAL: Duration = Duration::from_secs(2);

/// Disconnects surplus endpoints and reconnects selected ones, at most once per
/// `SELECTION_INTERVAL`. Does nothing with up to `MAX_CONNECTIONS` endpoints.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let due = world.next_selection.is_none_or(|due| due <= cx.now);
    if !due || world.endpoints.len() <= MAX_CONNECTIONS {
        return;
    }
    world.next_selection = Some(cx.now + SELECTION_INTERVAL);
    let selected = select_endpoints(world);
    let control::World {
        endpoints,
        deselected,
        ..
    } = world;
    deselected.retain(|vm| endpoints.by_name(vm).is_some());
    for (_, row) in endpoints.iter_mut() {
        let keep = selected.contains(&row.vm);
        if !keep && row.link.is_some() {
            row.link = None;
            deselected.insert(row.vm.clone());
            cx.effects.push(control::Effect::Disconnect(row.vm.clone()));
        } else if keep && deselected.remove(&row.vm) {
            cx.effects.push(control::Effect::Connect {
                vm: row.vm.clone(),
                addr: row.addr,
                role: fleet::NodeRole::Sidecar,
            });
        }
    }
}

/// Returns the endpoints selected for a version or service that they serve, and
/// those whose versions and service are unknown, to find out what they serve.
fn select_endpoints(world: &control::World) -> HashSet<ids::VmName> {
    let mut selected = HashSet::new();
    let mut groups: HashMap<&str, Vec<&control::EndpointRow>> = HashMap::new();
    for (_, row) in world.endpoints.iter() {
        let versions = row.report.versions.iter().map(ids::VersionName::as_str);
        let service = row.report.service.iter().map(ids::ServiceName::as_str);
        let mut serves = versions.chain(service).peekable();
        // An unreachable endpoint must not displace a reachable one.
        let reachable = row.link.is_some() || world.deselected.contains(&row.vm);
        if !reachable || serves.peek().is_none() {
            selected.insert(row.vm.clone());
            continue;
        }
        for name in serves {
            groups.entry(name).or_default().push(row);
        }
    }
    for rows in groups.into_values() {
        let nodes = rows.iter().map(|row| (&row.vm, &row.domain)).collect();
        selected.extend(choose(&world.identity.vm, nodes, MAX_CONNECTIONS));
    }
    selected
}

/// Selects up to `max` processes, taking the one with the highest score from each
/// failure domain in turn.
pub(super) fn choose(
    own_vm: &ids::VmName,
    mut nodes: Vec<(&ids::VmName, &ids::DomainName)>,
    max: usize,
) -> Vec<ids::VmName> {
    nodes.sort_by_cached_key(|(vm, _)| Reverse(rendezvous_score(own_vm, vm)));
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

/// Returns the rendezvous hash of an entry and another process. Each entry ranks
/// processes differently, and a change of the list moves only few connections.
fn rendezvous_score(own_vm: &ids::VmName, vm: &ids::VmName) -> u128 {
    ids::Digest::of_parts(&[own_vm.as_str().as_bytes(), vm.as_str().as_bytes()]).first_u128()
}
