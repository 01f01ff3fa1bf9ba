//! What the control thread asks the I/O tasks to do.

use std::net::SocketAddr;

use crate::fleet;
use crate::ids;

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
}
