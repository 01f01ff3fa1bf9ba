//! Life cycle of an attempt: planned, dispatched, streaming, finished.

use std::fmt;

use crate::attempt;
use crate::ids;

/// Planned; nothing has been sent.
#[derive(Debug)]
pub struct Planned;

/// Sent to the process beside the endpoint; nothing has come back.
#[derive(Debug)]
pub struct Dispatched;

/// Parts of the answer have arrived.
#[derive(Debug)]
pub struct Streaming;

/// Ended.
#[derive(Debug)]
pub struct Finished {
    /// What the attempt used.
    pub usage: attempt::Usage,
}

/// One attempt at a request; a step that the state does not allow does not compile.
#[derive(Debug)]
pub struct Attempt<S> {
    /// The request.
    pub request: ids::RequestId,
    /// Number of the attempt, from 1.
    pub number: u16,
    /// The VM of the endpoint.
    pub vm: ids::VmName,
    /// The version that runs.
    pub version: ids::VersionName,
    next_seq: u32,
    state: S,
}

/// A chunk that does not follow the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The sequence number that had to come.
    pub expected: u32,
    /// The sequence number that came.
    pub found: u32,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected chunk {}, got {}", self.expected, self.found)
    }
}

impl std::error::Error for Gap {}

impl<S> Attempt<S> {
    fn with<T>(self, state: T) -> Attempt<T> {
        Attempt {
            request: self.request,
            number: self.number,
            vm: self.vm,
            version: self.version,
            next_seq: self.next_seq,
            state,
        }
    }

    /// Number of chunks that the caller has.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.next_seq
    }
}

impl Attempt<Planned> {
    /// Plans an attempt that continues after `resume_from` chunks.
    #[must_use]
    pub const fn plan(
        request: ids::RequestId,
        number: u16,
        vm: ids::VmName,
        version: ids::VersionName,
        resume_from: u32,
    ) -> Self {
        Self {
            request,
            number,
            vm,
            version,
            next_seq: resume_from,
            state: Planned,
        }
    }

    /// The attempt has been sent.
    #[must_use]
    pub fn dispatched(self) -> Attempt<Dispatched> {
        self.with(Dispatched)
    }
}

impl Attempt<Dispatched> {
    /// The endpoint has taken the work.
    #[must_use]
    pub fn accepted(self) -> Attempt<Streaming> {
        self.with(Streaming)
    }
}

impl Attempt<Streaming> {
    /// Takes the next chunk. A chunk out of order would be a gap or a repeat for the caller.
    pub fn chunk(&mut self, seq: u32) -> Result<(), Gap> {
        if seq != self.next_seq {
            return Err(Gap {
                expected: self.next_seq,
                found: seq,
            });
        }
        self.next_seq += 1;
        Ok(())
    }

    /// The answer is whole.
    #[must_use]
    pub fn finished(self, usage: attempt::Usage) -> Attempt<Finished> {
        self.with(Finished { usage })
    }
}

impl Attempt<Finished> {
    /// What the attempt used.
    #[must_use]
    pub const fn usage(&self) -> attempt::Usage {
        self.state.usage
    }
}
