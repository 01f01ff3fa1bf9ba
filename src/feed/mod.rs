//! Tasks that turn what the platform says into events of the control thread.

mod backoff;
mod config;
mod inventory;

pub use backoff::Backoff;
pub use config::follow_config;
pub use inventory::follow_inventory;
