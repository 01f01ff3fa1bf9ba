//! Systems: functions that run over the control tables in each tick.

use crate::control;

pub mod allotment;
pub mod checkpoint;
pub mod config;
pub mod estimates;
pub mod health;
pub mod inventory;
pub mod lease;
pub mod leaving;
pub mod ledger;
pub mod links;
pub mod membership;
pub mod peers;
pub mod placement;
pub mod poison;
pub mod rollout;
pub mod snapshot;
pub mod stop;
pub mod subset;

/// Systems of the entry role, in execution order.
pub const ENTRY: control::Systems = &[
    stop::run,
    config::run,
    ledger::run,
    inventory::run,
    links::run,
    leaving::notify_sidecars,
    subset::run,
    peers::run,
    membership::run,
    health::run,
    lease::run,
    rollout::run,
    allotment::run,
    placement::run,
    estimates::run,
    poison::run,
    checkpoint::run,
];

/// Systems of the sidecar role, in execution order.
pub const SIDECAR: control::Systems = &[
    stop::run,
    config::run,
    ledger::run,
    leaving::follow_entries,
    poison::run,
];
