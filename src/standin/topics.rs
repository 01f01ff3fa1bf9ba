//! Topics of the stand-in log and its injected faults.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hyper::body::Bytes;
use serde_json::Value;

use crate::ids;
use crate::platform;
use crate::units;

/// Availability of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The log answers normally.
    #[default]
    Up,
    /// The log answers each request with status 503 and executes none.
    Refusing,
    /// The log accepts connections but does not answer; pending requests are
    /// abandoned unexecuted when the outage ends.
    Hanging,
}

/// A command for the stand-in log, sent as the body of `POST /standin/control`.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCommand {
    /// Sets the availability of the log.
    Outage(Outage),
    /// Delays each answer; an append takes effect before the delay. Default 0.
    AnswerDelay(units::Millis),
    /// Stores the next appends of a stream but closes their connections without
    /// an answer.
    LoseAnswers {
        /// The stream whose answers are lost.
        stream: platform::Stream,
        /// Number of appends that are affected.
        count: u32,
    },
    /// Truncates a stream below an offset.
    RetainFrom {
        /// The stream to truncate.
        stream: platform::Stream,
        /// Offset of the first record that is kept.
        offset: ids::Offset,
    },
}

/// Maximum of record bytes in one answer.
const MAX_PAGE_BYTES: usize = 1_024 * 1_024;

/// Maximum size of one page of a listing.
#[derive(Clone, Copy, Debug)]
pub(super) struct PageSize {
    records: usize,
    bytes: usize,
}

impl PageSize {
    /// The size that the protocol states.
    pub(super) const STATED: Self = Self {
        records: 500,
        bytes: MAX_PAGE_BYTES,
    };
    /// All records in one page.
    pub(super) const UNLIMITED: Self = Self {
        records: usize::MAX,
        bytes: usize::MAX,
    };
}

/// Retained records of one topic.
#[derive(Clone, Debug, Default)]
struct Topic {
    /// Number of truncated records, thus the offset of the first retained one.
    truncated: usize,
    records: Vec<Bytes>,
    /// Newest record per key, for topics whose records have keys.
    newest: BTreeMap<Bytes, (ids::Offset, Bytes)>,
    appends: u64,
    /// Appends still to be answered by a closed connection.
    answers_to_lose: u32,
}

impl Topic {
    fn end(&self) -> ids::Offset {
        ids::Offset((self.truncated + self.records.len()) as u64)
    }

    /// Updates the newest record of the key in `content`; a record without a
    /// value removes its key.
    fn index_key(&mut self, offset: ids::Offset, content: &Bytes) {
        match platform::split_raw_key(content) {
            Some((key, Some(value))) => {
                self.newest
                    .insert(Bytes::copy_from_slice(key), (offset, value));
            }
            Some((key, None)) => {
                self.newest.remove(key);
            }
            None => {}
        }
    }
}

/// All topics of the log, and the faults that apply to each of them.
#[derive(Debug, Default)]
pub struct Topics {
    by_name: HashMap<Arc<str>, Topic>,
    /// Number of times that the log has come back from a copy.
    pub(super) era: ids::StoreEra,
    pub(super) outage: Outage,
    pub(super) answer_delay: units::Millis,
}

/// Records of all topics at some time.
#[derive(Clone, Debug)]
pub struct LogCopy(HashMap<Arc<str>, Topic>);

impl Topics {
    pub(super) fn control(&mut self, command: LogCommand) {
        match command {
            LogCommand::Outage(outage) => self.outage = outage,
            LogCommand::AnswerDelay(delay) => self.answer_delay = delay,
            LogCommand::LoseAnswers { stream, count } => {
                self.topic(&stream.to_string()).answers_to_lose = count;
            }
            LogCommand::RetainFrom { stream, offset } => {
                self.retain_from(&stream.to_string(), offset);
            }
        }
    }

    /// Returns a copy of the records of all topics.
    pub(super) fn copy(&self) -> LogCopy {
        LogCopy(self.by_name.clone())
    }

    /// Replaces all records by those of the copy, and begins the next era.
    pub(super) fn restore(&mut self, copy: &LogCopy) {
        self.by_name.clone_from(&copy.0);
        self.era = self.era.next();
    }

    fn topic(&mut self, topic: &str) -> &mut Topic {
        self.by_name.entry(topic.into()).or_default()
    }

    /// Truncates a topic below `offset`; the newest record of each key stays.
    pub(super) fn retain_from(&mut self, topic: &str, offset: ids::Offset) {
        let state = self.topic(topic);
        let first = offset.min(state.end());
        let first = usize::try_from(first.0).unwrap_or(usize::MAX);
        let drop = first.saturating_sub(state.truncated);
        state.records.drain(..drop);
        state.truncated += drop;
    }

    /// Appends records; `EndMismatch` if `at` is given and is not the topic's end.
    pub(super) fn append(
        &mut self,
        topic: &str,
        at: Option<ids::Offset>,
        records: Vec<Bytes>,
    ) -> platform::AppendOutcome {
        let is_keyed = platform::has_keys(topic);
        let state = self.topic(topic);
        let first = state.end();
        if at.is_some_and(|at| at != first) {
            return platform::AppendOutcome::EndMismatch { end: first };
        }
        state.appends += 1;
        if is_keyed {
            for (offset, content) in (first.0..).zip(&records) {
                state.index_key(ids::Offset(offset), content);
            }
        }
        state.records.extend(records);
        platform::AppendOutcome::AppendedAt(first)
    }

    /// Returns whether the answer to the current append is to be lost, and
    /// counts it if so.
    pub(super) fn take_lost_answer(&mut self, topic: &str) -> bool {
        let state = self.topic(topic);
        let lost = state.answers_to_lose > 0;
        state.answers_to_lose = state.answers_to_lose.saturating_sub(1);
        lost
    }

    /// Reads records from an offset, up to [`MAX_PAGE_BYTES`]; `Expired` if the
    /// offset was truncated or not given out yet.
    pub(super) fn read(&self, topic: &str, from: ids::Offset) -> platform::ReadOutcome {
        let empty = Topic::default();
        let state = self.by_name.get(topic).unwrap_or(&empty);
        let first_retained = ids::Offset(state.truncated as u64);
        if from < first_retained || from > state.end() {
            return platform::ReadOutcome::Expired { first_retained };
        }
        let skip = usize::try_from(from.0).unwrap_or(usize::MAX) - state.truncated;
        let mut size = 0;
        let records = state
            .records
            .iter()
            .skip(skip)
            .take_while(|content| {
                size += content.len();
                size <= MAX_PAGE_BYTES
            })
            .cloned()
            .collect();
        platform::ReadOutcome::Records(platform::RecordBatch {
            from,
            end: state.end(),
            first_retained,
            records,
        })
    }

    /// Returns a page of the newest records of the keys after `after`. Bytes of a key that are
    /// not UTF-8 are replaced by U+FFFD.
    pub(super) fn newest(
        &self,
        topic: &str,
        after: Option<&[u8]>,
        max: PageSize,
    ) -> platform::NewestPage {
        let empty = Topic::default();
        let state = self.by_name.get(topic).unwrap_or(&empty);
        let mut rest = state
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| &***key > after))
            .peekable();
        let mut size = 0;
        let mut records = Vec::new();
        while records.len() < max.records
            && let Some((key, (offset, value))) = rest.next_if(|(key, (_, value))| {
                size += key.len() + value.len();
                size <= max.bytes || records.is_empty()
            })
        {
            records.push(platform::KeyedRecord {
                key: String::from_utf8_lossy(key).into(),
                value: value.clone(),
                offset: *offset,
            });
        }
        platform::NewestPage {
            records,
            without_key: 0,
            has_more: rest.peek().is_some(),
            end: ids::Position {
                era: self.era,
                offset: state.end(),
            },
        }
    }

    pub(super) fn records(&self, topic: &str) -> Vec<Value> {
        self.by_name.get(topic).map_or_else(Vec::new, |state| {
            let decode = |content: &Bytes| serde_json::from_slice(content).unwrap_or_default();
            state.records.iter().map(decode).collect()
        })
    }

    pub(super) fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.by_name
            .iter()
            .filter_map(|(topic, state)| Some((topic.parse().ok()?, state.appends)))
            .collect()
    }
}
