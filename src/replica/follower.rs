//! Follows one stream from the log and from other processes.

use std::collections::VecDeque;
use std::ops::Deref;

use crate::control;
use crate::ids;
use crate::replica;

/// Records that are kept for processes that lag; those that lag more get a checkpoint.
const MAX_RECENT: usize = 1_000;

/// A state machine with what it needs to start and to help others.
#[derive(Clone, Debug)]
pub struct Follower<M: replica::Machine> {
    machine: M,
    /// Records read before the machine could be built; empty afterwards.
    backlog: Vec<M::Record>,
    caught_up: bool,
    recent: VecDeque<M::Record>,
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
            self.recent.push_back(record.clone());
            if self.recent.len() > MAX_RECENT {
                self.recent.pop_front();
            }
        }
        &mut self.machine
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
        self.recent.clear();
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
        self.recent.clear();
        Advance {
            rebuilt: true,
            records: std::mem::take(&mut self.backlog),
        }
    }

    /// What a process lacks whose last applied record is `applied`, limited to
    /// about `limit` bytes by `size`; a checkpoint where the records are gone.
    #[must_use]
    pub fn lacking(
        &self,
        applied: Option<ids::Offset>,
        limit: usize,
        size: impl Fn(&M::Record) -> usize,
    ) -> Vec<M::Record> {
        let from = applied.map_or(ids::Offset(0), ids::Offset::next);
        if !self.caught_up || from >= self.machine.next_offset() {
            return Vec::new();
        }
        let known = self
            .recent
            .front()
            .is_some_and(|first| M::offset(first) <= from);
        if applied.is_none() || !known {
            return self.machine.checkpoint_record().into_iter().collect();
        }
        let mut total = 0;
        self.recent
            .iter()
            .filter(|record| M::offset(record) >= from)
            .take_while(|record| {
                let fits = total == 0 || total < limit;
                total += size(record);
                fits
            })
            .cloned()
            .collect()
    }
}
