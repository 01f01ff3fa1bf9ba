//! Request path of the direct role: an entry that calls endpoints without sidecars.

mod admit;
mod call;
mod cx;
mod handler;
mod metadata;
mod outcomes;
mod overload;
mod pace;
mod peering;
mod plain;
mod pools;
mod readiness;
mod refuse;
mod relay;
mod role;
mod send;
mod standby;
mod stream;
mod suspicion;
mod trace;
mod wait;

pub use admit::{Admitted, admit};
pub use cx::{Cx, NotReady};
pub use metadata::{AnswerMetadata, ForwardMetadata, RequestMetadata, RequestedModel};
pub use outcomes::{Outcomes, Waiting};
pub use overload::OverloadDetector;
pub use role::Gateway;
pub use suspicion::Execution;
