//! State of the gossip between entries.

use std::collections::HashMap;
use std::time::Instant;

use crate::fleet;
use crate::ids;

/// What an entry remembers about its gossip rounds and about the updates it has sent.
#[derive(Debug, Default)]
pub struct Gossip {
    /// Time at which the next gossip round is due; `None` before the first.
    pub next_round: Option<Instant>,
    /// This entry's own row as of the last round; `None` before the first.
    pub own_row: Option<fleet::Member>,
    /// Time at which records were last sent to each process.
    pub records_sent_at: HashMap<ids::VmName, Instant>,
    /// Incarnation and beat of the rows last sent to each peer, by peer and row.
    pub sent_rows: HashMap<ids::VmName, HashMap<ids::VmName, (ids::Incarnation, u64)>>,
}
