//! Threads that carry traffic.

mod quic_runtime;
mod timeout;
mod traffic;

pub use quic_runtime::QuicRuntime;
pub use timeout::timeout_at;
pub use traffic::Traffic;
