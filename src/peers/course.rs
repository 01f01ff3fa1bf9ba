//! Life cycle of a follower: it follows its reader, and reads for itself while it cannot.
//!
//! Load pattern: readers that freeze, are cut off, lag behind the store or are replaced, while
//! endpoints drain and keys are withdrawn.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids;
use crate::peers;
use crate::runtime;

/// Time for which a follower reads for itself after its reader has failed it, doubled with
/// each failure in a row.
const BACKOFF: Duration = Duration::from_secs(2);
/// The same after the reader did not read for others: it may just have become one.
const NOT_READING_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum of that time.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Why a follower stops following.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FollowEnd {
    /// No answer came in time.
    Silent,
    /// What the reader confirmed is too old.
    Stale,
    /// The connection failed, or the answer was invalid.
    Unreachable,
    /// The reader does not read for others now.
    NotReading,
    /// A read of the reader has failed.
    StoreLost,
    /// The reader no longer has the records that follow.
    NotRetained,
    /// Another reader was chosen, or none is needed.
    Replaced,
}

/// State in which the entry reads the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Time from which it may follow again.
    until: runtime::Moment,
    /// Whether it has read the topic since it last followed.
    has_read: bool,
    failures: u32,
}

/// State in which the entry follows a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Following {
    /// VM of the reader.
    pub reader: ids::VmName,
    /// Address of the reader for other entries (TCP).
    pub addr: SocketAddr,
    failures: u32,
}

/// How an entry learns the records of one topic, in the state `S`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Course<S> {
    /// The state.
    pub state: S,
}

impl Course<Reading> {
    fn record_read(mut self) -> Self {
        self.state.has_read = true;
        self
    }

    fn may_follow(&self, now: runtime::Moment) -> bool {
        self.state.has_read && now >= self.state.until
    }

    fn follow(self, reader: ids::VmName, addr: SocketAddr) -> Course<Following> {
        let failures = self.state.failures;
        Course {
            state: Following {
                reader,
                addr,
                failures,
            },
        }
    }
}

impl Course<Following> {
    fn record_answer(mut self) -> Self {
        self.state.failures = 0;
        self
    }

    fn end(self, reason: FollowEnd, now: runtime::Moment) -> Course<Reading> {
        let (failures, pause) = if reason == FollowEnd::Replaced {
            (0, Duration::ZERO)
        } else {
            let first = if reason == FollowEnd::NotReading {
                NOT_READING_BACKOFF
            } else {
                BACKOFF
            };
            let doublings = self.state.failures.min(8);
            let pause = first.saturating_mul(1 << doublings).min(MAX_BACKOFF);
            (self.state.failures.saturating_add(1), pause)
        };
        Course {
            state: Reading {
                until: now.saturating_add(pause),
                has_read: false,
                failures,
            },
        }
    }

    fn is_at(&self, duty: &peers::Duty) -> bool {
        matches!(duty, peers::Duty::Follow { reader, addr }
            if *reader == self.state.reader && *addr == self.state.addr)
    }
}

/// Course in any state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnyCourse {
    /// The entry reads the store.
    Reading(Course<Reading>),
    /// The entry follows a reader.
    Following(Course<Following>),
}

impl Default for AnyCourse {
    fn default() -> Self {
        Self::Reading(Course::default())
    }
}

impl AnyCourse {
    /// Returns the course from `now` on, for a duty that may have changed.
    #[must_use]
    pub fn plan(self, duty: &peers::Duty, now: runtime::Moment) -> Self {
        match (self, duty) {
            (Self::Following(course), duty) if !course.is_at(duty) => {
                Self::Reading(course.end(FollowEnd::Replaced, now))
            }
            (Self::Reading(course), peers::Duty::Follow { reader, addr })
                if course.may_follow(now) =>
            {
                Self::Following(course.follow(reader.clone(), *addr))
            }
            (course, _) => course,
        }
    }

    /// Records a successful read of the store, or an answer of the reader.
    #[must_use]
    pub fn record_success(self) -> Self {
        match self {
            Self::Reading(course) => Self::Reading(course.record_read()),
            Self::Following(course) => Self::Following(course.record_answer()),
        }
    }

    /// Returns how long the next read of the store waits for records, where reads usually wait
    /// for `usual`. The first one after following does not wait, as what is known may be old.
    #[must_use]
    pub const fn read_wait(&self, usual: Duration) -> Duration {
        match self {
            Self::Reading(course) if !course.state.has_read => Duration::ZERO,
            _ => usual,
        }
    }

    /// Ends following for this reason; no change where the entry reads.
    #[must_use]
    pub fn end_following(self, reason: FollowEnd, now: runtime::Moment) -> Self {
        match self {
            Self::Following(course) => Self::Reading(course.end(reason, now)),
            Self::Reading(course) => Self::Reading(course),
        }
    }
}
