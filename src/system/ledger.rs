//! Applies records of the `control` stream to the ledger.

use crate::control;
use crate::ledger;
use crate::replica;

/// Applies the tick's `control` records, from the log and from other processes.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let before = (world.ledger.applied(), world.ledger.is_caught_up());
    for event in &cx.events {
        let advance = match event {
            control::Event::ControlPage(page) => world.ledger.read(page),
            control::Event::ControlFromPeer(records) => world.ledger.receive(records),
            _ => continue,
        };
        cx.ledger_changed |= apply_advance(world, &advance);
    }
    cx.changed |= before != (world.ledger.applied(), world.ledger.is_caught_up());
}

/// Applies the records of an advance. Returns whether the ledger's state changed.
fn apply_advance(world: &mut control::World, advance: &replica::Advance<ledger::Record>) -> bool {
    let mut changed = advance.rebuilt;
    for record in &advance.records {
        changed |= world.ledger.machine_for(record).apply(record);
    }
    changed
}
