//! Messages between a follower and its reader.
//!
//! Ages are durations, as the clocks of two VMs cannot be compared. Those that make a read
//! look older are rounded up, the others down.

use std::sync::Arc;

use crate::direct;
use crate::ids;
use crate::runtime;
use crate::units;

/// Question for the records of a topic that follow an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Poll {
    /// Topic that is followed.
    pub source: direct::Source,
    /// Position of the first record that the follower lacks.
    pub from: ids::Position,
    /// Number of the reader's last read that the follower has received; 0 if none.
    pub seen: u64,
}

/// A record as the store gave it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelayRecord {
    /// Offset in the topic.
    pub offset: ids::Offset,
    /// Key of the record.
    pub key: Arc<str>,
    /// Value of the record; `None` where the key was removed.
    pub value: Option<Vec<u8>>,
}

/// Records that a reader passes on, with the age of its read.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelayedPage {
    /// Records from the asked offset on; endpoint reports that tell nothing new are left out.
    pub records: Vec<RelayRecord>,
    /// Offset at which the next poll continues.
    pub end: ids::Offset,
    /// Number of the reader's last read.
    pub number: u64,
    /// Time from the arrival of the poll to the answer, rounded down.
    pub held: units::Millis,
    /// Time from the begin of the reader's last read that reached the end of the topic to the
    /// answer, rounded up.
    pub age: units::Millis,
}

impl RelayedPage {
    /// Returns a time on the follower's clock at which the reader's last read that reached the
    /// end of the topic had not begun later; `asked` is the begin of the poll.
    #[must_use]
    pub fn read_started(&self, asked: runtime::Moment) -> runtime::Moment {
        let sent = asked.as_millis().saturating_add(self.held.0);
        runtime::Moment::from_millis(sent.saturating_sub(self.age.0))
    }

    /// Returns the time as of which this page confirms the records before `from`, of which the
    /// store confirmed at `known` what the follower has. A page that ends before `from` lacks
    /// some of them, and confirms nothing later than `known`.
    #[must_use]
    pub fn confirmed(
        &self,
        from: ids::Offset,
        asked: runtime::Moment,
        known: runtime::Moment,
    ) -> runtime::Moment {
        let read_started = self.read_started(asked);
        if self.end < from {
            return read_started.min(known);
        }
        read_started
    }
}

/// Answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PollAnswer {
    /// The reader has confirmed the topic.
    Page(RelayedPage),
    /// The reader does not read the topic for others now, or has not reached its end yet.
    NotReading,
    /// The last read of the reader has failed.
    StoreLost,
    /// The records from the asked offset on are no longer retained.
    NotRetained,
}
