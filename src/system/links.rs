//! Tracks connections to other processes and the reports of endpoints.

use crate::control;
use crate::fleet;

/// Updates the rows of processes from connection events and reports.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    for event in &cx.events {
        match event {
            control::Event::LinkUp(peer) => {
                let link = Some(control::Link {
                    incarnation: peer.incarnation,
                    last_seen: cx.now,
                });
                match peer.role {
                    fleet::NodeRole::Sidecar => {
                        if let Some(row) = world.endpoints.by_name_mut(&peer.vm) {
                            row.link = link;
                        }
                    }
                    fleet::NodeRole::Entry => {
                        if let Some(row) = world.entries.by_name_mut(&peer.vm) {
                            row.config = None;
                            row.control = None;
                            row.link = link;
                        }
                    }
                }
                log::info!(
                    "peer: connected to {} {}, incarnation {}.",
                    peer.role,
                    peer.vm,
                    peer.incarnation
                );
                cx.changed = true;
            }
            control::Event::LinkDown(vm) => {
                if let Some(row) = world.endpoints.by_name_mut(vm) {
                    row.link = None;
                }
                if let Some(row) = world.entries.by_name_mut(vm) {
                    row.link = None;
                }
                log::info!("peer: connection to {vm} is down.");
                cx.changed = true;
            }
            control::Event::Report(vm, report) => {
                if let Some(row) = world.endpoints.by_name_mut(vm) {
                    row.report = report.clone();
                    if let Some(link) = &mut row.link {
                        link.last_seen = cx.now;
                    }
                    cx.changed = true;
                }
            }
            _ => {}
        }
    }
}
