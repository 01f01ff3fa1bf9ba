//! Tasks that read the platform's streams and VM list and send what they read
//! to the control thread as events.

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
pub use stream::{RETRY_PAUSES, RecordContent, follow, read};
