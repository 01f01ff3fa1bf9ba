//! Applies records of the `control` stream.

use crate::control;
use crate::ledger;
use crate::replica;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let before = (world.ledger.applied(), world.ledger.is_caught_up());
    for event in &cx.events {
        let advance = match event {
            control::Event::ControlPage(page) => world.ledger.read(page),
            control::Event::ControlFromPeer(records) => world.ledger.hear(records),
            _ => continue,
        };
        cx.ledger_changed |= take(world, &advance);
    }
    cx.changed |= before != (world.ledger.applied(), world.ledger.is_caught_up());
}

/// Returns whether the state changed.
fn take(world: &mut control::World, advance: &replica::Advance<ledger::Record>) -> bool {
    let mut changed = advance.rebuilt;
    for record in &advance.records {
        changed |= world.ledger.applying(record).apply(record);
    }
    changed
}
