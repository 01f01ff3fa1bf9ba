//! Tasks that turn what the platform says into events of the control thread.

mod backoff;
mod config;
mod control;
mod evidence;
mod inventory;
mod stream;

pub use backoff::Backoff;
pub use config::follow_config;
pub use control::follow_control;
pub use evidence::follow_evidence;
pub use inventory::follow_inventory;
pub use stream::{Content, PAUSES, follow, read};
