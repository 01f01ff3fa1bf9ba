//! Exchanges records and rows with other entries, and hands records to endpoints.

use std::time::Duration;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::wire;

/// Time between rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Peers of a round. Three reach hundreds of entries within a few rounds.
const PEERS: usize = 3;
/// Least time between records for the same process: reports may come with
/// each answer, and a checkpoint with each would be far beyond the budget.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Largest checkpoint that is sent; a frame holds little more.
const MAX_CHECKPOINT: usize = 1_024 * 1_024;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    for event in std::mem::take(&mut cx.events) {
        match &event {
            control::Event::Applied {
                vm,
                config,
                control,
            } => {
                note_applied(world, cx, vm, *config, *control);
                hand_over(world, cx, vm, *config, *control);
            }
            control::Event::Report(vm, report) => {
                hand_over(world, cx, vm, report.config, report.control);
            }
            control::Event::Members(members) => take_members(world, cx, members),
            // A new run of a peer knows nothing of what the last was told.
            control::Event::LinkUp(peer) => {
                world.gossip.told.remove(&peer.vm);
            }
            _ => {}
        }
        cx.events.push(event);
    }
    if world.gossip.next.is_none_or(|next| next <= cx.now) {
        world.gossip.next = Some(cx.now + ROUND);
        forget_unlisted(world);
        update_own(world);
        round(world, cx);
    }
}

fn forget_unlisted(world: &mut control::World) {
    let control::World {
        gossip,
        entries,
        endpoints,
        ..
    } = world;
    gossip.told.retain(|vm, _| entries.by_name(vm).is_some());
    gossip
        .handed
        .retain(|vm, _| entries.by_name(vm).is_some() || endpoints.by_name(vm).is_some());
}

fn note_applied(
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
        link.heard = cx.now;
    }
    cx.changed |= row.config != config;
    row.config = config;
    row.control = control;
}

/// Sends the process what it lacks of `config` and `control`.
fn hand_over(
    world: &mut control::World,
    cx: &mut control::TickCx,
    vm: &ids::VmName,
    config: Option<ids::Offset>,
    control: Option<ids::Offset>,
) {
    let last = world.gossip.handed.get(vm);
    if last.is_some_and(|last| cx.now.saturating_duration_since(*last) < MIN_PAUSE) {
        return;
    }
    let updates = [
        (
            world.catalog.lacking(config),
            wire::Update::Config as fn(_) -> _,
        ),
        (world.ledger.lacking(control), wire::Update::Control),
    ];
    for (records, update) in updates {
        let size: usize = records.iter().map(|(_, text)| text.len()).sum();
        if size > MAX_CHECKPOINT {
            log::error!("peer: a checkpoint of {size} bytes is too large for {vm}.");
        } else if !records.is_empty() {
            world.gossip.handed.insert(vm.clone(), cx.now);
            cx.effects
                .push(control::Effect::Send(vm.clone(), update(records)));
        }
    }
}

/// Keeps rows that are newer than the known ones.
fn take_members(world: &mut control::World, cx: &mut control::TickCx, members: &[fleet::Member]) {
    for member in members {
        let Some(row) = world.entries.by_name_mut(&member.vm) else {
            continue;
        };
        let known = row.member.as_ref().map(age);
        if known < Some(age(member)) {
            row.member = Some(member.clone());
            cx.changed = true;
        }
    }
}

const fn age(member: &fleet::Member) -> (ids::Incarnation, u64) {
    (member.incarnation, member.beat)
}

/// The own row gets a new beat when it has changed.
fn update_own(world: &mut control::World) {
    let connected: Vec<_> = world
        .endpoints
        .iter()
        .filter(|(_, row)| row.link.is_some())
        .map(|(_, row)| row.report.config)
        .collect();
    let beat = world.gossip.own.as_ref().map_or(0, |own| own.beat);
    let mut own = fleet::Member {
        vm: world.me.vm.clone(),
        incarnation: world.me.incarnation,
        beat,
        config: world.catalog.applied(),
        endpoints_config: connected.iter().min().copied().flatten(),
        endpoints: u32::try_from(connected.len()).unwrap_or(u32::MAX),
    };
    if world.gossip.own.as_ref() != Some(&own) {
        own.beat += 1;
        world.gossip.own = Some(own);
    }
}

fn round(world: &mut control::World, cx: &mut control::TickCx) {
    let connected: Vec<ids::VmName> = world
        .entries
        .iter()
        .filter(|(_, row)| row.link.is_some())
        .map(|(_, row)| row.vm.clone())
        .collect();
    for peer in fastrand::choose_multiple(connected, PEERS) {
        let applied = wire::Update::Applied {
            config: world.catalog.applied(),
            control: world.ledger.applied(),
        };
        cx.effects
            .push(control::Effect::Send(peer.clone(), applied));
        let members = news_for(world, &peer);
        if !members.is_empty() {
            let update = wire::Update::Members(members);
            cx.effects.push(control::Effect::Send(peer, update));
        }
    }
}

/// Rows that have changed since the peer was told last.
fn news_for(world: &mut control::World, peer: &ids::VmName) -> Vec<fleet::Member> {
    let told = world.gossip.told.entry(peer.clone()).or_default();
    let others = world
        .entries
        .iter()
        .filter(|(_, row)| row.vm != *peer)
        .filter_map(|(_, row)| row.member.as_ref());
    let news: Vec<fleet::Member> = world
        .gossip
        .own
        .iter()
        .chain(others)
        .filter(|member| told.get(&member.vm) != Some(&age(member)))
        .cloned()
        .collect();
    told.extend(news.iter().map(|member| (member.vm.clone(), age(member))));
    news
}
