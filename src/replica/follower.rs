//! Follows one stream from the log and from other processes.

use std::collections::VecDeque;
use std::ops::Deref;
use std::sync::Arc;

use crate::control;
use crate::ids;
use crate::replica;
use crate::wire;

/// Bytes of records that are kept for processes that lag; those that lag more
/// get a checkpoint. The budget of a process is 64 MB.
const MAX_RECENT: usize = 2 * 1_024 * 1_024;
/// Most bytes of one update; a checkpoint alone may be larger.
const MAX_UPDATE: usize = 64 * 1_024;

/// A state machine with what it needs to start and to help others.
#[derive(Clone, Debug)]
pub struct Follower<M: replica::Machine> {
    machine: M,
    /// Records read before the machine could be built; empty afterwards.
    backlog: Vec<M::Record>,
    caught_up: bool,
    recent: VecDeque<(ids::Offset, Arc<str>)>,
    recent_bytes: usize,
    checkpointed: Option<ids::Offset>,
}

/// What a follower asks its owner to do.
#[derive(Clone, Debug)]
pub struct Advance<R> {
    /// Whether the state was replaced as a whole.
    pub rebuilt: bool,
    /// Records to apply, in order.
    pub records: Vec<R>,
}

impl<R> Advance<R> {
    const fn nothing() -> Self {
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
            checkpointed: None,
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
    /// Whether the machine has been built.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// The last checkpoint in the stream.
    #[must_use]
    pub const fn checkpointed(&self) -> Option<ids::Offset> {
        self.checkpointed
    }

    /// The machine, to apply a record; the record is kept for others.
    pub fn applying(&mut self, record: &M::Record) -> &mut M {
        if M::offset(record) >= self.machine.next_offset() {
            if M::covers(record).is_some() {
                self.checkpointed = Some(M::offset(record));
            }
            self.keep(record);
        }
        &mut self.machine
    }

    fn keep(&mut self, record: &M::Record) {
        let text = M::encode(record);
        self.recent_bytes += text.len();
        self.recent.push_back((M::offset(record), text));
        while self.recent_bytes > MAX_RECENT
            && let Some((_, oldest)) = self.recent.pop_front()
        {
            self.recent_bytes -= oldest.len();
        }
    }

    fn forget_recent(&mut self) {
        self.recent.clear();
        self.recent_bytes = 0;
    }

    /// Takes records read from the log.
    pub fn read(&mut self, page: &control::LogPage<M::Record>) -> Advance<M::Record> {
        let first = page.records.first().map(M::offset);
        if self.caught_up && first <= Some(self.machine.next_offset()) {
            return Advance {
                rebuilt: false,
                records: page.records.clone(),
            };
        }
        // Records have expired since the last read, or this is the start.
        self.caught_up = false;
        self.backlog.extend(page.records.iter().cloned());
        let next = self
            .backlog
            .last()
            .map_or(page.first_retained, |record| M::offset(record).next());
        if next < page.end {
            return Advance::nothing();
        }
        self.build(page.first_retained)
    }

    /// Takes records from another process. They may start beyond what is
    /// applied; then they wait for the log or for another process.
    pub fn hear(&mut self, records: &[M::Record]) -> Advance<M::Record> {
        let mut next = self.machine.next_offset();
        let mut advance = Advance::nothing();
        for record in records {
            if self.is_ahead(record) {
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

    /// Whether a checkpoint of another process helps: it covers records that
    /// are missing here, and what has been read from the log continues it.
    fn is_ahead(&self, record: &M::Record) -> bool {
        // A peer's checkpoint lies at the offset that it covers. One that was
        // read from the log lies behind it, and is applied in its turn.
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
        self.forget_recent();
    }

    fn build(&mut self, first_retained: ids::Offset) -> Advance<M::Record> {
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
                "{}: records before offset {first} have expired and no checkpoint covers them. Not ready.",
                M::PREFIX
            );
            return Advance::nothing();
        }
        self.machine = machine;
        self.caught_up = true;
        self.forget_recent();
        Advance {
            rebuilt: true,
            records: std::mem::take(&mut self.backlog),
        }
    }

    /// What a process lacks whose last applied record is `applied`; a
    /// checkpoint where the records are gone.
    #[must_use]
    pub fn lacking(&self, applied: Option<ids::Offset>) -> wire::Records {
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
                first || total <= MAX_UPDATE
            })
            .cloned()
            .collect()
    }
}
