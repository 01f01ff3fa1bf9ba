//! Systems of a direct entry, one a file, in the order in which they run.

mod endpoints;
mod operator;
mod process;
mod reports;
mod rollouts;
mod snapshot;
mod suspects;
mod tick;

pub use snapshot::take as snapshot;
pub use tick::TickCx;

use crate::direct;

/// A system.
type System = fn(&mut direct::World, &mut TickCx);

/// All systems in their order.
pub const ALL: [System; 6] = [
    process::run,
    operator::run,
    endpoints::run,
    reports::run,
    rollouts::run,
    suspects::run,
];
