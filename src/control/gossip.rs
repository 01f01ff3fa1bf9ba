//! What an entry keeps for the exchange with other entries.

use std::collections::HashMap;
use std::time::Instant;

use crate::fleet;
use crate::ids;

/// State of the exchange.
#[derive(Debug, Default)]
pub struct Gossip {
    /// When the next round is due; `None` before the first.
    pub next: Option<Instant>,
    /// This entry's own row as last told.
    pub own: Option<fleet::Member>,
    /// When each process was last handed records.
    pub handed: HashMap<ids::VmName, Instant>,
    /// Run and beat of the rows that each peer has been told.
    pub told: HashMap<ids::VmName, HashMap<ids::VmName, (ids::Incarnation, u64)>>,
}
