//! Life cycle of an attempt as a typestate: planned, dispatched, streaming, finished.

use std::fmt;

use crate::attempt;
use crate::ids;

/// State of an attempt that has not been sent yet.
#[derive(Debug)]
pub struct Planned;

/// State of an attempt that was sent to the sidecar and has not been accepted yet.
#[derive(Debug)]
pub struct Dispatched;

/// State of an attempt that the endpoint has accepted; chunks of the answer may arrive.
#[derive(Debug)]
pub struct Streaming;

/// State of an attempt whose answer is complete.
#[derive(Debug)]
pub struct Finished {
    /// Tokens that the attempt consumed.
    pub usage: attempt::Usage,
}

/// One attempt at a request, in state `S`. Transitions that the state does not allow do
/// not compile.
#[derive(Debug)]
pub struct Attempt<S> {
    /// The request that the attempt serves.
    pub request: ids::RequestId,
    /// Number of the attempt among those of its request, starting at 1.
    pub number: u16,
    /// VM on which the endpoint runs.
    pub vm: ids::VmName,
    /// Version that serves the attempt.
    pub version: ids::VersionName,
    next_seq: u32,
    state: S,
}

/// Error for a chunk whose sequence number is not the next in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Sequence number of the next chunk in order.
    pub expected: u32,
    /// Sequence number of the received chunk.
    pub found: u32,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected chunk {}, got {}", self.expected, self.found)
    }
}

impl std::error::Error for Gap {}

impl<S> Attempt<S> {
    fn transition<T>(self, state: T) -> Attempt<T> {
        Attempt {
            request: self.request,
            number: self.number,
            vm: self.vm,
            version: self.version,
            next_seq: self.next_seq,
            state,
        }
    }

    /// Returns the number of chunks passed on so far, which is the sequence number of the
    /// next.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.next_seq
    }
}

impl Attempt<Planned> {
    /// Plans an attempt that continues the answer after its first `resume_from` chunks.
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

    /// Records that the attempt was sent to the sidecar.
    #[must_use]
    pub fn dispatched(self) -> Attempt<Dispatched> {
        self.transition(Dispatched)
    }
}

impl Attempt<Dispatched> {
    /// Records that the endpoint has accepted the work.
    #[must_use]
    pub fn accepted(self) -> Attempt<Streaming> {
        self.transition(Streaming)
    }
}

impl Attempt<Streaming> {
    /// Counts chunk `seq`. Fails if it is out of order, since the caller would get
    /// missing or repeated text.
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

    /// Records that the answer is complete.
    #[must_use]
    pub fn finished(self, usage: attempt::Usage) -> Attempt<Finished> {
        self.transition(Finished { usage })
    }
}

impl Attempt<Finished> {
    /// Returns the tokens that the attempt consumed.
    #[must_use]
    pub const fn usage(&self) -> attempt::Usage {
        self.state.usage
    }
}
