//! Clients of the platform's list of VMs and of its rating service. Only
//! deployments with sidecars use them.

mod inventory;
mod rating;

pub use inventory::{InventoryClient, Vm, VmState};
pub use rating::{RateRequest, RatingClient};
