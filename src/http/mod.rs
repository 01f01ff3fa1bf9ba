//! HTTP/1.1 on `smol`: a server with limits on its callers, and a client that pools
//! connections.

mod body_buffer;
mod buffer_budget;
mod client;
mod close_reason;
mod connection;
mod connection_row;
mod connection_table;
mod connections;
mod error;
pub mod eviction;
mod fair_reads;
mod held_body;
mod reply;
mod request_body;
mod request_slot;
mod server;
mod sse;
mod stall;

pub use body_buffer::BodyBuffer;
pub use buffer_budget::{BufferBudget, Reservation};
pub use client::{Answer, Client, ClientLimits, Reach};
pub use close_reason::CloseReason;
pub use connection::Connection;
pub use connection_table::ConnectionTable;
use connections::is_abandoned;
pub use connections::{Connections, abort_connection};
pub use error::HttpError;
pub use reply::{Body, Reply, full, generated, json, read_body, relayed, streamed};
pub use request_body::{MEMORY_RETRY_AFTER, read_request_body, receive_body};
pub use server::{Handler, Server, not_found};
pub use sse::{Event, EventSplitter, SseReader};
