//! System that exchanges the results of rollouts with the other entries.

use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::rollout;

/// Time between exchanges while a small share of the traffic is observed.
const PROBING_INTERVAL: Duration = Duration::from_secs(2);
/// Time between exchanges while the traffic moves to the new version.
const MOVING_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the results of other entries and requests the next exchange of each rollout in
/// progress.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        if let direct::Event::EvidenceRead(records) = event {
            apply(world, cx, records);
        }
    }
    cx.events = events;
    let (vm, process) = (&world.settings.vm, world.process);
    for (service, row) in &mut world.rollouts {
        if !row.recorded.is_some_and(rollout::Stage::is_over) && is_due(row, cx) {
            row.exchange_requested_at = cx.now;
            let own = unshared(service, vm, process, row);
            cx.effects
                .push(direct::Effect::ExchangeEvidence(own.map(Box::new)));
        }
    }
}

fn is_due(row: &direct::RolloutRow, cx: &TickCx) -> bool {
    let interval = match row.canary.stage(cx.now) {
        rollout::Stage::Probing => PROBING_INTERVAL,
        _ => MOVING_INTERVAL,
    };
    cx.now.saturating_since(row.exchange_requested_at) >= interval
}

/// Returns the results of this entry; `None` if they have not changed since they were
/// last returned.
fn unshared(
    service: &ids::ServiceName,
    vm: &ids::VmName,
    process: ids::Incarnation,
    row: &mut direct::RolloutRow,
) -> Option<direct::SharedEvidence> {
    let tallies = row.evidence.tallies().condensed();
    if tallies == row.shared {
        return None;
    }
    row.shared = tallies.clone();
    Some(direct::SharedEvidence {
        service: service.clone(),
        vm: vm.clone(),
        process,
        target: row.order.target.clone(),
        tallies,
    })
}

fn apply(world: &mut direct::World, cx: &TickCx, records: &[direct::SharedEvidence]) {
    let is_follower = world.duty.is_follow();
    for (service, row) in &mut world.rollouts {
        let is_first = row.peers.read_at.is_none();
        let mut listed = direct::Tallies::default();
        let mut peers = direct::PeerResults {
            read_at: Some(cx.now),
            ..direct::PeerResults::default()
        };
        for record in records {
            if record.service != *service || record.target != row.order.target {
                continue;
            }
            if record.vm != world.settings.vm {
                peers.tallies.merge(&record.tallies);
                peers.entries += 1;
            } else if record.process != world.process && is_first {
                log::info!(target: "rollout", service:% = service, process:% = record.process;
                    "results of an earlier process of this entry are used");
                row.evidence.merge(&record.tallies);
            } else if record.process == world.process {
                listed = record.tallies.clone();
            }
        }
        row.peers = peers;
        if is_follower {
            // The entry that shares them may have ended before it did, or be late.
            row.shared = listed;
        }
    }
}
