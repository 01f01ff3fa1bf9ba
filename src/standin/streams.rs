//! Records and switches of the stand-in log.

use std::collections::HashMap;

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

#[derive(Debug, Default)]
struct Stored {
    dropped: usize,
    records: Vec<Value>,
    appends: u64,
    lose: u32,
}

impl Stored {
    fn end(&self) -> usize {
        self.dropped + self.records.len()
    }
}

/// The streams with the switches.
#[derive(Debug, Default)]
pub struct Streams {
    stored: HashMap<platform::Stream, Stored>,
    pub(super) outage: Outage,
    pub(super) answer_delay: units::Millis,
}

impl Streams {
    pub(super) fn control(&mut self, command: LogCommand) {
        match command {
            LogCommand::Outage(outage) => self.outage = outage,
            LogCommand::AnswerDelay(delay) => self.answer_delay = delay,
            LogCommand::LoseAnswers { stream, count } => {
                self.stored.entry(stream).or_default().lose = count;
            }
            LogCommand::RetainFrom { stream, offset } => self.retain_from(stream, offset),
        }
    }

    fn retain_from(&mut self, stream: platform::Stream, offset: ids::Offset) {
        let stored = self.stored.entry(stream).or_default();
        let first = usize::try_from(offset.0).unwrap_or(usize::MAX);
        let drop = first.min(stored.end()).saturating_sub(stored.dropped);
        stored.records.drain(..drop);
        stored.dropped += drop;
    }

    pub(super) fn append(
        &mut self,
        stream: platform::Stream,
        records: Vec<Value>,
    ) -> platform::Append {
        let stored = self.stored.entry(stream).or_default();
        let first = ids::Offset(stored.end() as u64);
        stored.appends += 1;
        stored.records.extend(records);
        platform::Append { first }
    }

    /// Whether the answer to the present append of the stream is lost.
    pub(super) fn take_loss(&mut self, stream: platform::Stream) -> bool {
        let stored = self.stored.entry(stream).or_default();
        let lost = stored.lose > 0;
        stored.lose = stored.lose.saturating_sub(1);
        lost
    }

    pub(super) fn page(
        &self,
        stream: platform::Stream,
        from: ids::Offset,
        max: usize,
    ) -> platform::Page {
        let Some(stored) = self.stored.get(&stream) else {
            return platform::Page::default();
        };
        let from = usize::try_from(from.0).unwrap_or(usize::MAX);
        let skip = from.saturating_sub(stored.dropped);
        let records = stored
            .records
            .iter()
            .zip(stored.dropped as u64..)
            .skip(skip)
            .take(max)
            .map(|(body, offset)| platform::LogRecord {
                offset: ids::Offset(offset),
                body: body.clone(),
            })
            .collect();
        platform::Page {
            first_retained: ids::Offset(stored.dropped as u64),
            end: ids::Offset(stored.end() as u64),
            records,
        }
    }

    pub(super) fn records(&self, stream: platform::Stream) -> Vec<Value> {
        self.stored
            .get(&stream)
            .map(|stored| stored.records.clone())
            .unwrap_or_default()
    }

    pub(super) fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.stored
            .iter()
            .map(|(stream, stored)| (*stream, stored.appends))
            .collect()
    }
}
