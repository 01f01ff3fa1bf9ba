//! Clients of the list of VMs and of the rating service, which the roles with
//! a process beside each endpoint use.

mod inventory;
mod rating;

pub use inventory::{Inventory, Vm, VmState};
pub use rating::{RateRequest, Rating};
