//! What an entry does about the topics that all entries need.

use std::net::SocketAddr;

use crate::ids;

/// Duty of an entry, by the last listing of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Duty {
    /// Reads for itself.
    #[default]
    Alone,
    /// Reads for itself and for others.
    Read,
    /// Follows a reader while that confirms in time what it has read.
    Follow {
        /// VM of the reader.
        reader: ids::VmName,
        /// Address of the reader for other entries (TCP).
        addr: SocketAddr,
    },
}

impl Duty {
    /// Returns whether the entry follows a reader.
    #[must_use]
    pub const fn is_follow(&self) -> bool {
        matches!(self, Self::Follow { .. })
    }
}
