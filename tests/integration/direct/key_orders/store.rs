//! The operator's topic in a store that drops records, is lost and comes back from a copy.

use quetzalworks::ids::{Offset, Position, StoreEra};
use serde_json::json;

use crate::direct::world::config;

/// Most records that the answer to a read holds, so that few changes fill one.
const RECORDS_PER_READ: usize = 3;

/// A record of the operator.
#[derive(Clone, Debug)]
pub struct Record {
    pub key: &'static str,
    /// Value; empty where the key is dropped.
    pub value: Vec<u8>,
}

/// What the store answers.
#[derive(Debug)]
pub enum Answer {
    Records {
        records: Vec<(u64, Record)>,
        end: Position,
        lacking: u64,
    },
    /// The position is not retained, or of an earlier era.
    PositionLost,
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    era: u64,
    records: Vec<Record>,
    first_retained: usize,
    /// Version, and keys in force, of the last configuration.
    version: u64,
    keys: Vec<String>,
    names: u64,
    /// Keys that were withdrawn, with the time of the acknowledgement.
    pub withdrawn: Vec<(String, u64)>,
    /// Whether the entries can read the last configuration.
    pub is_readable: bool,
    /// Last configuration that the operator has written.
    configuration: Option<Record>,
    /// Copy from which the store may return.
    copy: Option<(Vec<Record>, usize)>,
}

impl Store {
    pub fn new() -> Self {
        let mut store = Self {
            era: 1,
            ..Self::default()
        };
        for _ in 0..4 {
            store.add_key();
        }
        store.configure(true);
        store
    }

    pub fn end(&self) -> Position {
        Position {
            era: StoreEra(self.era),
            offset: Offset(self.records.len() as u64),
        }
    }

    /// Keys of the last configuration.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }

    fn add_key(&mut self) {
        self.names += 1;
        self.keys.push(format!("key-{}", self.names));
    }

    /// Writes the next configuration. One that is not `readable` has a part that no release of
    /// the entry knows.
    pub fn configure(&mut self, readable: bool) {
        self.version += 3;
        self.is_readable = readable;
        let mut config = config(self.version);
        config["Tenants"][0]["ApiKeys"] = json!(self.keys);
        if !readable {
            config["Routes"][0]["Kind"] = "unheard_of".into();
        }
        self.put("config", config.to_string());
        self.configuration = self.records.last().cloned();
    }

    /// Takes a key away and adds another one.
    pub fn withdraw_key(&mut self, i: usize, readable: bool, now: u64) {
        let key = self.keys.remove(i % self.keys.len());
        self.add_key();
        self.configure(readable);
        self.withdrawn.push((key, now));
    }

    /// Writes a record that changes nothing at the entries.
    pub fn write_other(&mut self) {
        self.put("notes", "{}".into());
    }

    fn put(&mut self, key: &'static str, value: String) {
        let value = value.into_bytes();
        self.records.push(Record { key, value });
    }

    pub fn make_copy(&mut self) {
        self.copy = Some((self.records.clone(), self.first_retained));
    }

    /// Returns from the copy. The result is what the operator has to write again.
    pub fn restore(&mut self) -> Option<Record> {
        let (records, first_retained) = self.copy.clone()?;
        self.era += 1;
        self.records = records;
        self.first_retained = first_retained;
        self.configuration.clone()
    }

    pub fn write_again(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Drops the older records; the newest one of each key stays in listings.
    pub fn drop_records(&mut self, keep: usize) {
        let first = self.records.len().saturating_sub(keep);
        self.first_retained = self.first_retained.max(first);
    }

    /// Whether a read from `from` on is answered at once.
    pub fn has_news(&self, from: Position) -> bool {
        from.era.0 != self.era || from.offset.0 != self.records.len() as u64
    }

    pub fn read(&self, from: Position) -> Answer {
        let start = usize::try_from(from.offset.0).unwrap();
        let end = self.records.len();
        if from.era.0 != self.era || start < self.first_retained || start > end {
            return Answer::PositionLost;
        }
        let stop = end.min(start + RECORDS_PER_READ);
        let records = (start..stop).map(|i| (i as u64, self.records[i].clone()));
        Answer::Records {
            records: records.collect(),
            end: Position {
                offset: Offset(stop as u64),
                ..from
            },
            lacking: (end - stop) as u64,
        }
    }

    /// Lists the newest record of each key, where the first page stated `end`.
    pub fn list(&self, end: Position) -> Answer {
        if end.era.0 != self.era {
            return Answer::PositionLost;
        }
        let newest = |key| self.records.iter().rfind(|record| record.key == key);
        let records = ["config", "notes"].into_iter().filter_map(newest);
        Answer::Records {
            records: records.map(|record| (0, record.clone())).collect(),
            end,
            lacking: 0,
        }
    }
}
