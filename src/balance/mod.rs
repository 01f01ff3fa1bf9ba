//! Choice of an endpoint: its load, its failures, its cold start, and the
//! bound on repeats. No type of a message encoding is used here.

mod choose;
mod cold_gate;
mod live;
mod pressure;
mod retry_window;

pub use choose::{Ask, Choice, Ground, VersionWish, choose};
pub use cold_gate::ColdGate;
pub use live::{Failure, Live, Permit, ReportedLoad, Silence};
pub use pressure::Pressure;
pub use retry_window::RetryWindow;
