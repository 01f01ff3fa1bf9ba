//! Control state as a replicated state machine over the `control` stream.

mod body;
mod checkpoint;
mod grant;
mod record;
mod state;
mod store;

pub use body::{Body, LeaseAction, RolloutTransition, StepEvidence};
pub use checkpoint::Checkpoint;
pub use grant::Grant;
pub use record::{Message, Record};
pub use state::{LeaseRow, Published, RolloutRow, State};
pub use store::Ledger;
