//! HTTP/1.1 on `smol`: a server with limits on its callers, and a client that pools
//! connections.

mod body_buffer;
mod buffer_budget;
mod client;
mod connections;
mod error;
mod fair_reads;
mod reply;
mod request_body;
mod server;
mod sse;
mod stall;

pub use body_buffer::BodyBuffer;
pub use buffer_budget::{BufferBudget, Reservation};
pub use client::{Answer, Client, ClientLimits};
use connections::is_abandoned;
pub use connections::{Connections, abort_connection};
pub use error::HttpError;
pub use reply::{Body, Reply, full, generated, json, read_body, relayed, streamed};
pub use request_body::read_request_body;
pub use server::{Handler, Server, not_found};
pub use sse::{Event, EventSplitter, SseReader};
