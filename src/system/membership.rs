//! Gossips records and entry rows with other entries, and sends missing records to sidecars.

use std::time::Duration;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::wire;

/// Time between gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Peers contacted per round. Three reach hundreds of entries within a few rounds.
const PEERS_PER_ROUND: usize = 3;
/// Minimum time between sending records to the same process. Reports may arrive
/// with each answer, and a checkpoint for each would far exceed the budget.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a checkpoint that is sent; a frame can hold little more.
const MAX_CHECKPOINT_BYTES: usize = 1_024 * 1_024;

/// Processes replication progress and gossip, and runs a gossip round when due.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    for event in std::mem::take(&mut cx.events) {
        match &event {
            control::Event::AppliedOffsets {
                vm,
                config,
                control,
            } => {
                update_applied(world, cx, vm, *config, *control);
                send_missing(world, cx, vm, *config, *control);
            }
            control::Event::Report(vm, report) => {
                send_missing(world, cx, vm, report.config, report.control);
            }
            control::Event::Members(members) => merge_members(world, cx, members),
            // A new incarnation of a peer has none of the rows sent to the last one.
            control::Event::LinkUp(peer) => {
                world.gossip.sent_rows.remove(&peer.vm);
            }
            _ => {}
        }
        cx.events.push(event);
    }
    if world.gossip.next_round.is_none_or(|next| next <= cx.now) {
        world.gossip.next_round = Some(cx.now + ROUND_INTERVAL);
        remove_unlisted(world);
        update_own_row(world);
        run_round(world, cx);
    }
}

fn remove_unlisted(world: &mut control::World) {
    let control::World {
        gossip,
        entries,
        endpoints,
        ..
    } = world;
    gossip
        .sent_rows
        .retain(|vm, _| entries.by_name(vm).is_some());
    gossip
        .records_sent_at
        .retain(|vm, _| entries.by_name(vm).is_some() || endpoints.by_name(vm).is_some());
}

fn update_applied(
    world: &mut control::World,
    cx: &mut control::TickCx,
    vm: &ids::VmName,
    config: Option<ids::Offset>,
    control: Option<ids::Offset>,
) {
    let Some(row) = world.entries.by_name_mut(vm) else {
        return;
    };
    if let Some(link) = &mut row.link {
        link.last_seen = cx.now;
    }
    cx.changed |= row.config != config;
    row.config = config;
    row.control = control;
}

/// Sends the process the `config` and `control` records that it lacks.
fn send_missing(
    world: &mut control::World,
    cx: &mut control::TickCx,
    vm: &ids::VmName,
    config: Option<ids::Offset>,
    control: Option<ids::Offset>,
) {
    let last = world.gossip.records_sent_at.get(vm);
    if last.is_some_and(|last| cx.now.saturating_duration_since(*last) < MIN_SEND_INTERVAL) {
        return;
    }
    let updates = [
        (
            world.catalog.records_after(config),
            wire::Update::Config as fn(_) -> _,
        ),
        (world.ledger.records_after(control), wire::Update::Control),
    ];
    for (records, update) in updates {
        let size: usize = records.iter().map(|(_, text)| text.len()).sum();
        if size > MAX_CHECKPOINT_BYTES {
            log::error!(
                "peer: checkpoint of {size} bytes not sent to {vm}, limit {MAX_CHECKPOINT_BYTES}."
            );
        } else if !records.is_empty() {
            world.gossip.records_sent_at.insert(vm.clone(), cx.now);
            cx.effects
                .push(control::Effect::Send(vm.clone(), update(records)));
        }
    }
}

/// Replaces known entry rows by newer ones.
fn merge_members(world: &mut control::World, cx: &mut control::TickCx, members: &[fleet::Member]) {
    for member in members {
        let Some(row) = world.entries.by_name_mut(&member.vm) else {
            continue;
        };
        let known = row.member.as_ref().map(row_version);
        if known < Some(row_version(member)) {
            row.member = Some(member.clone());
            cx.changed = true;
        }
    }
}

const fn row_version(member: &fleet::Member) -> (ids::Incarnation, u64) {
    (member.incarnation, member.beat)
}

/// Refreshes this entry's own row; its beat grows when it has changed.
fn update_own_row(world: &mut control::World) {
    let connected: Vec<_> = world
        .endpoints
        .iter()
        .filter(|(_, row)| row.link.is_some())
        .map(|(_, row)| row.report.config)
        .collect();
    let beat = world
        .gossip
        .own_row
        .as_ref()
        .map_or(0, |own_row| own_row.beat);
    let mut own_row = fleet::Member {
        vm: world.identity.vm.clone(),
        incarnation: world.identity.incarnation,
        beat,
        config: world.catalog.applied(),
        endpoints_config: connected.iter().min().copied().flatten(),
        endpoints: u32::try_from(connected.len()).unwrap_or(u32::MAX),
    };
    if world.gossip.own_row.as_ref() != Some(&own_row) {
        own_row.beat += 1;
        world.gossip.own_row = Some(own_row);
    }
}

fn run_round(world: &mut control::World, cx: &mut control::TickCx) {
    let connected: Vec<ids::VmName> = world
        .entries
        .iter()
        .filter(|(_, row)| row.link.is_some())
        .map(|(_, row)| row.vm.clone())
        .collect();
    for peer in fastrand::choose_multiple(connected, PEERS_PER_ROUND) {
        let applied = wire::Update::Applied {
            config: world.catalog.applied(),
            control: world.ledger.applied(),
        };
        cx.effects
            .push(control::Effect::Send(peer.clone(), applied));
        let members = changed_rows(world, &peer);
        if !members.is_empty() {
            let update = wire::Update::Members(members);
            cx.effects.push(control::Effect::Send(peer, update));
        }
    }
}

/// Returns the rows that have changed since they were last sent to the peer, and
/// marks them as sent.
fn changed_rows(world: &mut control::World, peer: &ids::VmName) -> Vec<fleet::Member> {
    let sent_rows = world.gossip.sent_rows.entry(peer.clone()).or_default();
    let others = world
        .entries
        .iter()
        .filter(|(_, row)| row.vm != *peer)
        .filter_map(|(_, row)| row.member.as_ref());
    let changed: Vec<fleet::Member> = world
        .gossip
        .own_row
        .iter()
        .chain(others)
        .filter(|member| sent_rows.get(&member.vm) != Some(&row_version(member)))
        .cloned()
        .collect();
    sent_rows.extend(
        changed
            .iter()
            .map(|member| (member.vm.clone(), row_version(member))),
    );
    changed
}
