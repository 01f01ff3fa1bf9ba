//! Effects: requests of the control thread to the I/O tasks.

use std::net::SocketAddr;
use std::time::Instant;

use crate::fleet;
use crate::ids;
use crate::platform;
use crate::wire;

/// An I/O action requested by a system. Systems do no I/O themselves.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection open to the process on this VM.
    Connect {
        /// VM of the peer process.
        vm: ids::VmName,
        /// Address on which the peer process accepts connections from other processes.
        addr: SocketAddr,
        /// Role of the peer process.
        role: fleet::NodeRole,
    },
    /// Close the connection to the process on this VM and stop reconnecting.
    Disconnect(ids::VmName),
    /// Send the update to the process on this VM; ignored while it is not connected.
    Send(ids::VmName, wire::Update),
    /// Append a record to a stream of the log.
    Append(Append),
    /// Send an order to the endpoint on this VM.
    Order {
        /// VM of the endpoint.
        vm: ids::VmName,
        /// Fencing number of the lease under which the order is given.
        fence: ids::Fence,
        /// End of the lease's validity; the order must not be sent from then on.
        valid_until: Instant,
        /// What the endpoint is to do.
        action: fleet::OrderAction,
    },
}

/// A record to append. If the reply is lost, the record is looked up by its
/// id before the append is repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Append {
    /// Stream to append to.
    pub stream: platform::Stream,
    /// The `id` member of the record; `None` if a duplicate is harmless.
    pub id: Option<ids::ChangeId>,
    /// Lowest offset at which the record can be found.
    pub from: ids::Offset,
    /// Body of the record as JSON.
    pub record: serde_json::Value,
}
