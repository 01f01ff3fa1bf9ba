//! What a reader keeps of a topic for its followers.
//!
//! Load pattern: endpoints that report every second, of which each report costs a record,
//! while few of them tell anything new.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::direct;
use crate::ids;
use crate::peers;
use crate::runtime;
use crate::units;

/// Memory for the records of a topic; the oldest ones are dropped beyond it.
const MAX_BYTES: usize = 512 * 1_024;
/// Maximum number of records of a topic.
const MAX_RECORDS: usize = 4_096;
/// Bytes that a record takes besides its key and value.
const RECORD_OVERHEAD: usize = 64;

/// State of the reads of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// This entry does not read the topic for others.
    #[default]
    Idle,
    /// The last read has failed.
    Failed,
    /// The last read was successful.
    Reading,
}

/// Newest records of a topic, with the age of the read that confirmed them.
#[derive(Debug, Default)]
pub struct RelayLog {
    state: State,
    /// Time as of which the log lacks nothing; `None` before a read has reached the end of the
    /// topic. A read that has not leaves it as it was.
    confirmed: Option<runtime::Moment>,
    /// Number of the last read, from 1; also counts failures.
    number: u64,
    records: VecDeque<peers::RelayRecord>,
    bytes: usize,
    /// Era in which the offsets were given out.
    era: ids::StoreEra,
    start: ids::Offset,
    end: ids::Offset,
    /// Status that each endpoint has last reported.
    reported: HashMap<ids::EndpointId, direct::EndpointRecord>,
}

impl RelayLog {
    /// Begins with a complete listing that ends at `end`; it is not passed on. `confirmed` is
    /// as in [`Self::append`].
    pub fn restart(&mut self, end: ids::Position, confirmed: Option<runtime::Moment>) {
        self.records.clear();
        self.reported.clear();
        self.bytes = 0;
        self.era = end.era;
        self.start = end.offset;
        self.end = end.offset;
        self.confirmed = None;
        self.record_read(confirmed);
    }

    /// Adds the records of a read that ended at `end`. Records from a read that does not
    /// continue the last one replace the log. `confirmed` is the time as of which the read
    /// lacks nothing; `None` if it may lack records.
    pub fn append(
        &mut self,
        records: impl IntoIterator<Item = (peers::RelayRecord, Option<direct::EndpointChange>)>,
        from: ids::Position,
        end: ids::Offset,
        confirmed: Option<runtime::Moment>,
    ) {
        let continues = (from.era, from.offset) == (self.era, self.end);
        if !continues || self.state == State::Idle {
            self.restart(from, None);
        }
        for (record, change) in records {
            if change.is_none_or(|change| self.is_news(change)) {
                self.push(record);
            }
        }
        self.end = end;
        self.record_read(confirmed);
    }

    fn record_read(&mut self, confirmed: Option<runtime::Moment>) {
        self.state = State::Reading;
        self.confirmed = self.confirmed.max(confirmed);
        self.number += 1;
    }

    /// Whether a change tells more than that the endpoint still lives. Reports of a cold
    /// endpoint do, since the time for which it stays cold may have grown.
    fn is_news(&mut self, change: direct::EndpointChange) -> bool {
        match change {
            direct::EndpointChange::Seen(record) => {
                let last = self.reported.insert(record.id.clone(), record.clone());
                last.is_none_or(|last| {
                    let same = direct::EndpointRecord {
                        sequence: record.sequence,
                        ..last
                    };
                    same != record || record.cold_left != units::Millis(0)
                })
            }
            direct::EndpointChange::Removed(id) | direct::EndpointChange::Unusable(id) => {
                self.reported.remove(&id);
                true
            }
        }
    }

    fn push(&mut self, record: peers::RelayRecord) {
        self.bytes += size(&record);
        self.records.push_back(record);
        while self.bytes > MAX_BYTES || self.records.len() > MAX_RECORDS {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size(&oldest);
            self.start = ids::Offset(oldest.offset.0 + 1);
        }
    }

    /// Records that a read has failed.
    pub fn fail(&mut self) {
        if self.state != State::Idle {
            self.state = State::Failed;
            self.number += 1;
        }
    }

    /// Stops passing records on.
    pub fn stop(&mut self) {
        if self.state != State::Idle {
            *self = Self {
                number: self.number + 1,
                ..Self::default()
            };
        }
    }

    /// Returns the answer to a poll that arrived at `arrived`; `None` if there is nothing that
    /// the follower has not seen.
    #[must_use]
    pub fn answer(
        &self,
        poll: &peers::Poll,
        arrived: runtime::Moment,
        now: runtime::Moment,
    ) -> Option<peers::PollAnswer> {
        let confirmed = match (self.state, self.confirmed) {
            (State::Failed, _) => return Some(peers::PollAnswer::StoreLost),
            (State::Idle, _) | (State::Reading, None) => {
                return Some(peers::PollAnswer::NotReading);
            }
            (State::Reading, Some(confirmed)) => confirmed,
        };
        if poll.from.era != self.era || poll.from.offset < self.start {
            return Some(peers::PollAnswer::NotRetained);
        }
        if poll.seen == self.number {
            return None;
        }
        let records = self.records.iter();
        let age = now.saturating_since(confirmed);
        Some(peers::PollAnswer::Page(peers::RelayedPage {
            records: records
                .filter(|record| record.offset >= poll.from.offset)
                .cloned()
                .collect(),
            end: self.end,
            number: self.number,
            held: units::Millis(now.as_millis().saturating_sub(arrived.as_millis() + 1)),
            age: units::Millis(u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1),
        }))
    }
}

fn size(record: &peers::RelayRecord) -> usize {
    let value = record.value.as_ref().map_or(0, Vec::len);
    RECORD_OVERHEAD + record.key.len() + value
}

impl From<(ids::Offset, Arc<str>, Option<Vec<u8>>)> for peers::RelayRecord {
    fn from((offset, key, value): (ids::Offset, Arc<str>, Option<Vec<u8>>)) -> Self {
        Self { offset, key, value }
    }
}
