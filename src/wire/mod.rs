//! Messages between the processes of the system, over QUIC with mutual TLS.

mod codec;
mod error;
mod frame;
mod node;
mod records;
mod tls;

pub use codec::{read, write};
pub use error::WireError;
pub use frame::{FenceReply, Reply, StreamOpening, Update};
pub use node::{Node, server_name};
pub use records::{LogRecords, decode_config, decode_control, encode_record};
pub use tls::{TlsError, TlsIdentity};
