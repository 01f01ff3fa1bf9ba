//! The sidecar role: admits work to the endpoint beside it and speaks the
//! endpoint's protocol.

mod check;
mod crash;
mod cx;
mod dispatch;
mod engine;
mod engine_stream;
mod health;
mod model;
mod order;
mod role;
mod server;
mod service;
mod slot;
mod updates;
mod usage;

pub use cx::SidecarCx;
pub use engine::{Engine, EngineStatus, StartError};
pub use engine_stream::{EngineEvent, EngineStream};
pub use role::Sidecar;
pub use service::ServiceClient;
