//! Replication of one stream, from the log and from other processes.

use std::collections::VecDeque;
use std::ops::Deref;
use std::sync::Arc;

use crate::control;
use crate::ids;
use crate::replica;
use crate::wire;

/// Maximum total size of the recent records kept for lagging processes; those
/// further behind get a checkpoint. The memory budget of a process is 64 MB.
const MAX_RECENT_BYTES: usize = 2 * 1_024 * 1_024;
/// Maximum size of one update; a single record, such as a checkpoint, may exceed it.
const MAX_UPDATE_BYTES: usize = 64 * 1_024;

/// A state machine with the records it needs to start and to update other
/// processes. Derefs to the machine.
#[derive(Clone, Debug)]
pub struct Follower<M: replica::Machine> {
    machine: M,
    /// Records read from the log before the machine could be built; empty afterwards.
    backlog: Vec<M::Record>,
    caught_up: bool,
    recent: VecDeque<(ids::Offset, Arc<str>)>,
    recent_bytes: usize,
    last_checkpoint: Option<ids::Offset>,
}

/// Records that the owner of a follower must apply to it.
#[derive(Clone, Debug)]
pub struct Advance<R> {
    /// Whether the complete state was replaced, by a checkpoint or from the log.
    pub rebuilt: bool,
    /// Records to apply, in offset order.
    pub records: Vec<R>,
}

impl<R> Advance<R> {
    const fn empty() -> Self {
        Self {
            rebuilt: false,
            records: Vec::new(),
        }
    }
}

impl<M: replica::Machine> Default for Follower<M> {
    fn default() -> Self {
        Self {
            machine: M::default(),
            backlog: Vec::new(),
            caught_up: false,
            recent: VecDeque::new(),
            recent_bytes: 0,
            last_checkpoint: None,
        }
    }
}

impl<M: replica::Machine> Deref for Follower<M> {
    type Target = M;

    fn deref(&self) -> &M {
        &self.machine
    }
}

impl<M: replica::Machine> Follower<M> {
    /// Returns whether the machine has been built and can apply records.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the offset of the last checkpoint record among those applied; `None`
    /// if there was none.
    #[must_use]
    pub const fn last_checkpoint(&self) -> Option<ids::Offset> {
        self.last_checkpoint
    }

    /// Returns the machine, to apply this record to it, and keeps a new record for
    /// lagging processes.
    pub fn machine_for(&mut self, record: &M::Record) -> &mut M {
        if M::offset(record) >= self.machine.next_offset() {
            if M::covers(record).is_some() {
                self.last_checkpoint = Some(M::offset(record));
            }
            self.keep_recent(record);
        }
        &mut self.machine
    }

    fn keep_recent(&mut self, record: &M::Record) {
        let text = M::encode(record);
        self.recent_bytes += text.len();
        self.recent.push_back((M::offset(record), text));
        while self.recent_bytes > MAX_RECENT_BYTES
            && let Some((_, oldest)) = self.recent.pop_front()
        {
            self.recent_bytes -= oldest.len();
        }
    }

    fn clear_recent(&mut self) {
        self.recent.clear();
        self.recent_bytes = 0;
    }

    /// Accepts a page of records read from the log.
    pub fn read(&mut self, page: &control::LogPage<M::Record>) -> Advance<M::Record> {
        let first = page.records.first().map(M::offset);
        if self.caught_up && first <= Some(self.machine.next_offset()) {
            return Advance {
                rebuilt: false,
                records: page.records.clone(),
            };
        }
        // Records have expired since the last read, or this is the first read.
        self.caught_up = false;
        self.backlog.extend(page.records.iter().cloned());
        let next = self
            .backlog
            .last()
            .map_or(page.first_retained, |record| M::offset(record).next());
        if next < page.end {
            return Advance::empty();
        }
        self.rebuild(page.first_retained)
    }

    /// Accepts records from another process. Records after a gap are ignored; they
    /// arrive later from the log or from another process.
    pub fn receive(&mut self, records: &[M::Record]) -> Advance<M::Record> {
        let mut next = self.machine.next_offset();
        let mut advance = Advance::empty();
        for record in records {
            if self.is_newer_checkpoint(record) {
                self.restore(record);
                advance.rebuilt = true;
                advance.records = std::mem::take(&mut self.backlog);
                next = advance
                    .records
                    .last()
                    .map_or(ids::Offset(0), |record| M::offset(record).next())
                    .max(self.machine.next_offset());
            } else if self.caught_up && M::offset(record) == next {
                advance.records.push(record.clone());
                next = next.next();
            }
        }
        advance
    }

    /// Returns whether the record is a checkpoint made by another process that
    /// covers records missing here and that the backlog from the log continues.
    fn is_newer_checkpoint(&self, record: &M::Record) -> bool {
        // A checkpoint made by a peer has the offset that it covers. One from
        // the log has a higher offset and is applied in order.
        let Some(covers) = M::covers(record).filter(|covers| *covers == M::offset(record)) else {
            return false;
        };
        let continues = self
            .backlog
            .first()
            .is_none_or(|first| M::offset(first) <= covers.next());
        covers >= self.machine.next_offset() && continues
    }

    fn restore(&mut self, record: &M::Record) {
        self.machine.restore(record);
        self.caught_up = true;
        self.clear_recent();
    }

    fn rebuild(&mut self, first_retained: ids::Offset) -> Advance<M::Record> {
        let mut machine = M::default();
        let checkpoint = self
            .backlog
            .iter()
            .filter(|record| M::covers(record).is_some())
            .max_by_key(|record| M::covers(record));
        if let Some(checkpoint) = checkpoint {
            machine.restore(checkpoint);
        }
        let first = self.backlog.first().map_or(first_retained, M::offset);
        if first > machine.next_offset() {
            log::error!(
                "{}: records before offset {first} have expired and no checkpoint covers them; not ready.",
                M::LOG_PREFIX
            );
            return Advance::empty();
        }
        self.machine = machine;
        self.caught_up = true;
        self.clear_recent();
        Advance {
            rebuilt: true,
            records: std::mem::take(&mut self.backlog),
        }
    }

    /// Returns the records that follow `applied`, about `MAX_UPDATE_BYTES` at most;
    /// a checkpoint if they are no longer kept or `applied` is `None`. Empty if there
    /// are none or this process has not caught up.
    #[must_use]
    pub fn records_after(&self, applied: Option<ids::Offset>) -> wire::LogRecords {
        let from = applied.map_or(ids::Offset(0), ids::Offset::next);
        if !self.caught_up || from >= self.machine.next_offset() {
            return Vec::new();
        }
        let known = self.recent.front().is_some_and(|(first, _)| *first <= from);
        if applied.is_none() || !known {
            let checkpoint = self.machine.checkpoint_record();
            return checkpoint
                .iter()
                .map(|record| (M::offset(record), M::encode(record)))
                .collect();
        }
        let mut total = 0;
        self.recent
            .iter()
            .skip_while(|(offset, _)| *offset < from)
            .take_while(|(_, text)| {
                let first = total == 0;
                total += text.len();
                first || total <= MAX_UPDATE_BYTES
            })
            .cloned()
            .collect()
    }
}
