//! The role beside an endpoint: admission and the engine's protocol.

mod cx;
mod engine;
mod role;
mod run;
mod server;
mod updates;

pub use cx::SidecarCx;
pub use engine::{Engine, EngineEvent, EngineStatus};
pub use role::Sidecar;
