//! Systems of a direct entry, one per file.

mod endpoints;
mod evidence;
mod limits;
mod members;
mod operator;
mod process;
mod reports;
mod rollouts;
mod share;
mod snapshot;
mod suspects;
mod tick;

pub use endpoints::retention_after_mass_removal;
pub use snapshot::build as snapshot;
pub use tick::TickCx;

use crate::direct;

/// A system: updates the tables from the events of a tick.
type System = fn(&mut direct::World, &mut TickCx);

/// All systems, in the order in which they run.
pub const ALL: [System; 10] = [
    process::run,
    share::run,
    members::run,
    operator::run,
    endpoints::run,
    limits::run,
    reports::run,
    evidence::run,
    rollouts::run,
    suspects::run,
];
