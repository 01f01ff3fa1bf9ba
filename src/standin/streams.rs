//! Records and switches of the stand-in log.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hyper::body::Bytes;
use serde_json::Value;

use crate::ids;
use crate::platform;
use crate::units;

/// Whether the log answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    Up,
    /// It answers each request with status 503 and does nothing.
    Refusing,
    /// It accepts requests, does nothing and answers none until the outage ends.
    Hanging,
}

/// Control of the stand-in log; the body of `POST /standin/control`.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCommand {
    /// Starts or ends an outage.
    Outage(Outage),
    /// Delays each answer; an append takes effect before the delay.
    AnswerDelay(units::Millis),
    /// Stores the next appends of a stream but closes the connection without an answer.
    LoseAnswers {
        /// The stream.
        stream: platform::Stream,
        /// Appends that are concerned.
        count: u32,
    },
    /// Drops the records of a stream below an offset.
    RetainFrom {
        /// The stream.
        stream: platform::Stream,
        /// First record that is kept.
        offset: ids::Offset,
    },
}

/// Bytes of records in one answer.
const MAX_PAGE: usize = 1_024 * 1_024;

#[derive(Debug, Default)]
struct Stored {
    dropped: usize,
    records: Vec<Bytes>,
    /// Newest record of each key, for topics whose records have keys.
    newest: BTreeMap<Arc<str>, (ids::Offset, Bytes)>,
    appends: u64,
    lose: u32,
}

impl Stored {
    fn end(&self) -> ids::Offset {
        ids::Offset((self.dropped + self.records.len()) as u64)
    }

    fn index_key(&mut self, offset: ids::Offset, content: &Bytes) {
        match platform::split_key(content) {
            Some((key, Some(value))) => {
                self.newest.insert(key.into(), (offset, value));
            }
            Some((key, None)) => {
                self.newest.remove(key);
            }
            None => {}
        }
    }
}

/// The topics with the switches.
#[derive(Debug, Default)]
pub struct Streams {
    stored: HashMap<Arc<str>, Stored>,
    pub(super) outage: Outage,
    pub(super) answer_delay: units::Millis,
}

impl Streams {
    pub(super) fn control(&mut self, command: LogCommand) {
        match command {
            LogCommand::Outage(outage) => self.outage = outage,
            LogCommand::AnswerDelay(delay) => self.answer_delay = delay,
            LogCommand::LoseAnswers { stream, count } => {
                self.topic(&stream.to_string()).lose = count;
            }
            LogCommand::RetainFrom { stream, offset } => {
                self.retain_from(&stream.to_string(), offset);
            }
        }
    }

    fn topic(&mut self, topic: &str) -> &mut Stored {
        self.stored.entry(topic.into()).or_default()
    }

    /// Drops the records of a topic below an offset.
    pub(super) fn retain_from(&mut self, topic: &str, offset: ids::Offset) {
        let stored = self.topic(topic);
        let first = offset.min(stored.end());
        let first = usize::try_from(first.0).unwrap_or(usize::MAX);
        let drop = first.saturating_sub(stored.dropped);
        stored.records.drain(..drop);
        stored.dropped += drop;
    }

    pub(super) fn append(
        &mut self,
        topic: &str,
        at: Option<ids::Offset>,
        records: Vec<Bytes>,
    ) -> platform::Appended {
        let is_keyed = platform::has_keys(topic);
        let stored = self.topic(topic);
        let first = stored.end();
        if at.is_some_and(|at| at != first) {
            return platform::Appended::Moved { end: first };
        }
        stored.appends += 1;
        if is_keyed {
            for (offset, content) in (first.0..).zip(&records) {
                stored.index_key(ids::Offset(offset), content);
            }
        }
        stored.records.extend(records);
        platform::Appended::At(first)
    }

    /// Whether the answer to the present append of the topic is lost.
    pub(super) fn take_loss(&mut self, topic: &str) -> bool {
        let stored = self.topic(topic);
        let lost = stored.lose > 0;
        stored.lose = stored.lose.saturating_sub(1);
        lost
    }

    pub(super) fn read(&self, topic: &str, from: ids::Offset) -> platform::Read {
        let empty = Stored::default();
        let stored = self.stored.get(topic).unwrap_or(&empty);
        let first_retained = ids::Offset(stored.dropped as u64);
        if from < first_retained {
            return platform::Read::Expired { first_retained };
        }
        let skip = usize::try_from(from.0).unwrap_or(usize::MAX) - stored.dropped;
        let mut size = 0;
        let records = stored
            .records
            .iter()
            .skip(skip)
            .take_while(|content| {
                size += content.len();
                size <= MAX_PAGE
            })
            .cloned()
            .collect();
        platform::Read::Records(platform::Records {
            from,
            end: stored.end(),
            first_retained,
            records,
        })
    }

    /// The newest records of the keys after `after`, at most `limit`.
    pub(super) fn newest(
        &self,
        topic: &str,
        after: Option<&str>,
        limit: usize,
    ) -> platform::Newest {
        let empty = Stored::default();
        let stored = self.stored.get(topic).unwrap_or(&empty);
        let mut rest = stored
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| &***key > after));
        let records = rest
            .by_ref()
            .take(limit)
            .map(|(key, (offset, value))| platform::KeyedRecord {
                key: Arc::clone(key),
                value: Some(value.clone()),
                offset: *offset,
            })
            .collect();
        platform::Newest {
            records,
            has_more: rest.next().is_some(),
            end: stored.end(),
        }
    }

    pub(super) fn records(&self, topic: &str) -> Vec<Value> {
        self.stored.get(topic).map_or_else(Vec::new, |stored| {
            let decode = |content: &Bytes| serde_json::from_slice(content).unwrap_or_default();
            stored.records.iter().map(decode).collect()
        })
    }

    pub(super) fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.stored
            .iter()
            .filter_map(|(topic, stored)| Some((topic.parse().ok()?, stored.appends)))
            .collect()
    }
}
