//! Choice of the connections to close when memory or descriptors run short.
//!
//! Load pattern: many callers that send most of a head or body, or nothing at all, and
//! keep their connections open, so that others find no room.

use std::time::Duration;

use crate::units;

/// Time without progress after which a request that is being received, or a connection
/// without a request, may be evicted for its memory.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Time for which a caller must have read nothing of its answer before it may be evicted;
/// longer, since the request has run and its answer would be lost.
const MIN_UNREAD: Duration = Duration::from_secs(5);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Activity {
    /// Between two requests, or before the first.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request.
    Body,
    /// Handling a request that was received completely, or delivering its answer.
    Busy,
    /// Delivering an answer to a caller that does not read.
    Unread,
}

/// A connection as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Key of the connection.
    pub key: K,
    /// What the connection is doing.
    pub activity: Activity,
    /// Memory that it holds.
    pub held: units::Bytes,
    /// Time since its last progress.
    pub stalled: Duration,
}

impl<K> Candidate<K> {
    /// Returns whether a request or its answer makes no progress. A request that was received
    /// completely never counts as stalled.
    fn is_stalled(&self) -> bool {
        match self.activity {
            Activity::Head | Activity::Body => self.stalled >= MIN_STALL,
            Activity::Unread => self.stalled >= MIN_UNREAD,
            Activity::Idle | Activity::Busy => false,
        }
    }

    /// Returns whether the connection is idle for long enough that no request is on its way.
    fn is_unused(&self) -> bool {
        self.activity == Activity::Idle && self.stalled >= MIN_STALL
    }

    /// Returns the memory held, weighted by the time without progress, in byte seconds.
    #[allow(clippy::cast_precision_loss)]
    fn cost(&self) -> f64 {
        self.held.0 as f64 * self.stalled.as_secs_f64()
    }
}

/// Chooses connections that together hold at least `need` bytes, and up to `target` bytes if
/// there are such, those first that hold most for longest without progress. Idle connections
/// follow the stalled ones. Returns none if all that may be closed hold less than `need`, as
/// closing them would help no one.
#[must_use]
pub fn for_memory<K: Copy>(
    candidates: impl IntoIterator<Item = Candidate<K>>,
    need: units::Bytes,
    target: units::Bytes,
) -> Vec<K> {
    let mut eligible: Vec<_> = candidates
        .into_iter()
        .filter(|candidate| candidate.is_stalled() || candidate.is_unused())
        .collect();
    eligible.sort_by(|a, b| {
        let by_kind = b.is_stalled().cmp(&a.is_stalled());
        by_kind.then(b.cost().total_cmp(&a.cost()))
    });
    let mut freed = 0;
    let mut chosen = Vec::new();
    for candidate in eligible {
        if freed >= need.0.max(target.0) {
            break;
        }
        freed += candidate.held.0;
        chosen.push(candidate.key);
    }
    if freed < need.0 {
        chosen.clear();
    }
    chosen
}

/// Chooses the connection that makes room for a new one: of those that are idle or
/// stalled, the one without progress for longest. Returns `None` if there is none.
#[must_use]
pub fn for_connection<K: Copy>(candidates: impl IntoIterator<Item = Candidate<K>>) -> Option<K> {
    candidates
        .into_iter()
        .filter(|candidate| candidate.is_stalled() || candidate.activity == Activity::Idle)
        .max_by_key(|candidate| candidate.stalled)
        .map(|candidate| candidate.key)
}
