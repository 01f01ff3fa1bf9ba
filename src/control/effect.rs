//! What the control thread asks the I/O tasks to do.

use std::net::SocketAddr;
use std::time::Instant;

use crate::fleet;
use crate::ids;
use crate::platform;
use crate::wire;

/// An action that a system asks for. Systems do no I/O themselves.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection to the process on this VM.
    Connect {
        /// The VM.
        vm: ids::VmName,
        /// Address of its process.
        addr: SocketAddr,
        /// Role of its process.
        role: fleet::NodeRole,
    },
    /// Give the connection up.
    Disconnect(ids::VmName),
    /// Tell the process on this VM, where it is connected.
    Send(ids::VmName, wire::Update),
    /// Append a record to the log.
    Append(Append),
    /// Give an order to the endpoint on this VM.
    Order {
        /// The VM.
        vm: ids::VmName,
        /// Fencing number of the lease.
        fence: ids::Fence,
        /// The moment from which the order must not be sent.
        valid_until: Instant,
        /// The order.
        action: fleet::OrderAction,
    },
}

/// A record to append. It is found again by its id after a lost answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Append {
    /// The stream.
    pub stream: platform::Stream,
    /// The `id` member of the record; `None` where a duplicate is harmless.
    pub id: Option<ids::ChangeId>,
    /// The first offset at which the record can lie.
    pub from: ids::Offset,
    /// The record.
    pub record: serde_json::Value,
}
