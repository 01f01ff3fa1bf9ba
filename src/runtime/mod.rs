//! The traffic threads, their clocks and time limits, and the QUIC runtime on top of them.

mod counted_socket;
mod moment;
mod quic_runtime;
mod resident;
mod timeout;
mod traffic;
mod wall_clock;

pub use counted_socket::{CountedSocket, PeerBytes};
pub use moment::Moment;
pub use quic_runtime::QuicRuntime;
pub use resident::resident_bytes;
pub use timeout::timeout_at;
pub use traffic::Traffic;
pub use wall_clock::since_epoch;
