//! Log lines that tell what the reads of a topic prove.

use std::mem::{self, Discriminant};

use crate::direct;
use crate::direct::feed;
use crate::ids;
use crate::observe;
use crate::runtime;
use crate::units;

/// How records were obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Origin {
    /// By a read of the store that continued the one before.
    Read,
    /// By a listing of the newest record of each key.
    Listing,
    /// From an entry that reads the store for others.
    Relay,
}

/// Logs the reads of one topic: each of the operator's, as withdrawn keys are refused by what
/// it proves, and of other topics those that prove another thing than the one before.
#[derive(Debug)]
pub(super) struct ReadLog {
    source: direct::Source,
    last: Option<Discriminant<direct::Proof>>,
    /// Records that were left out last.
    left_out: observe::LeftOut,
}

impl ReadLog {
    pub(super) fn new(source: direct::Source) -> Self {
        Self {
            source,
            last: None,
            left_out: observe::LeftOut::default(),
        }
    }

    /// Logs the records that a read has left out, unless they are the same as the last ones:
    /// their writers repeat them.
    pub(super) fn record_left_out(&mut self, left_out: observe::LeftOut) {
        if !left_out.is_empty() && left_out != self.left_out {
            left_out.log(self.source.into());
            self.left_out = left_out;
        }
    }

    /// Logs a read that began at `started` and continued `from`, or was a listing.
    pub(super) fn record(
        &mut self,
        origin: Origin,
        from: Option<ids::Position>,
        started: runtime::Moment,
        batch: &feed::RawBatch,
        proof: direct::Proof,
    ) {
        let last = self.last.replace(mem::discriminant(&proof));
        if self.source != direct::Source::Operator && last == self.last {
            return;
        }
        let now = runtime::Moment::now();
        let since = |at| units::Millis::from(now.saturating_since(at)).0;
        log::info!(target: "store", source:% = self.source, origin:% = origin, proof:% = proof,
            from = from.map(|at| at.to_string()), end:% = batch.end, lacking = batch.lacking,
            records = batch.records.len(), read_ms = since(started),
            age_ms = proof.confirmed().map(since); "topic read");
    }
}
