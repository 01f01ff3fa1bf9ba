//! What one connection of a server does and holds.

use std::convert::Infallible;
use std::time::Instant;

use smol::channel::Sender;

use crate::http::buffer_budget;
use crate::http::eviction::{self, Activity};
use crate::units;

/// Memory of a connection without a request: its task, and a buffer each for reading and
/// for writing.
pub const CONNECTION_BYTES: usize = 20 * 1_024;
/// Memory of a request in progress beside its body.
pub const REQUEST_BYTES: usize = 24 * 1_024;
/// Initial read buffer of `hyper`, and the free part of it that each read needs. The buffer
/// doubles where a head leaves less.
pub const READ_BUFFER: usize = 8 * 1_024;
/// Maximum number of bytes read at a time: less than the read buffer, which `hyper` would
/// enlarge after a read that fills it.
pub const READ_SIZE: usize = READ_BUFFER - 1;
/// Received part of a body from which on it is read in larger pieces, if there is memory for
/// a larger buffer.
const LARGE_BODY: usize = 128 * 1_024;
/// Memory of the larger read buffer, the maximum size of a head.
const LARGE_BUFFER: usize = 64 * 1_024;
/// Number of received bytes that count as progress; fewer do not keep a connection from
/// being evicted.
const PROGRESS_BYTES: usize = 1_024;

/// A row of the table of connections.
#[derive(Debug)]
pub struct Row {
    activity: Activity,
    progress_at: Instant,
    /// Bytes received since the last progress.
    unmarked: usize,
    /// Begin of the head that is being received.
    head_began: Instant,
    head_bytes: usize,
    body_bytes: usize,
    /// Received bytes of the body, including those that were discarded.
    body_received: usize,
    /// Whether the read buffer may grow while a body is received.
    has_large_buffer: bool,
    /// Memory of the connection, its head and its request; `None` without a budget.
    reservation: Option<buffer_budget::Reservation>,
    /// Since when the caller has read nothing of what is written; `None` if it reads.
    unread_since: Option<Instant>,
    evicted: Sender<Infallible>,
}

impl Row {
    /// Creates the row of an idle connection. `evicted` is closed to evict it.
    #[must_use]
    pub fn new(
        reservation: Option<buffer_budget::Reservation>,
        evicted: Sender<Infallible>,
        now: Instant,
    ) -> Self {
        Self {
            activity: Activity::Idle,
            progress_at: now,
            unmarked: 0,
            head_began: now,
            head_bytes: 0,
            body_bytes: 0,
            body_received: 0,
            has_large_buffer: false,
            reservation,
            unread_since: None,
            evicted,
        }
    }

    /// Evicts the connection.
    pub fn evict(&self) {
        self.evicted.close();
    }

    /// Returns whether the connection was evicted and closes soon.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_closed()
    }

    /// Returns the memory that the connection and its request hold.
    fn held(&self) -> units::Bytes {
        let own = self
            .reservation
            .as_ref()
            .map_or(0, buffer_budget::Reservation::bytes);
        units::Bytes((own + self.body_bytes) as u64)
    }

    /// Returns the row as the choice of evictions sees it.
    pub fn candidate<K>(&self, key: K, now: Instant) -> eviction::Candidate<K> {
        let (activity, since) = match self.unread_since {
            Some(since) => (Activity::Unread, since),
            None => (self.activity, self.progress_at),
        };
        eviction::Candidate {
            key,
            activity,
            held: self.held(),
            stalled: now.saturating_duration_since(since),
        }
    }

    /// Changes the reservation to what the connection holds now. Returns false if the
    /// budget does not allow it.
    #[must_use]
    pub fn reserve(&mut self) -> bool {
        let bytes = self.needed();
        self.reservation
            .as_mut()
            .is_none_or(|reservation| reservation.resize_exactly(bytes))
    }

    /// Returns the number of bytes that others must release for [`Self::reserve`] to succeed.
    #[must_use]
    pub fn shortfall(&self) -> units::Bytes {
        let reservation = self.reservation.as_ref();
        reservation.map_or(units::Bytes(0), |reservation| {
            reservation.shortfall_exactly(self.needed())
        })
    }

    /// Returns the memory that the connection needs now, in bytes.
    fn needed(&self) -> usize {
        let is_incomplete = self.activity == Activity::Head;
        let head = if is_incomplete || self.head_bytes > READ_BUFFER {
            // While it grows, the buffer exists twice, and it leaves holes behind.
            2 * (self.head_bytes + READ_BUFFER).next_power_of_two() - READ_BUFFER
        } else {
            0
        };
        let request = match self.activity {
            Activity::Body | Activity::Busy | Activity::Unread => REQUEST_BYTES,
            Activity::Idle | Activity::Head => 0,
        };
        let buffer = if self.has_large_buffer {
            LARGE_BUFFER
        } else {
            0
        };
        CONNECTION_BYTES + buffer + head + request
    }

    /// Reserves the larger read buffer for a large body, if there is memory for it.
    fn enlarge_buffer(&mut self) {
        if self.has_large_buffer || self.body_received < LARGE_BODY {
            return;
        }
        self.has_large_buffer = match &mut self.reservation {
            Some(reservation) => reservation.add_large(LARGE_BUFFER),
            None => true,
        };
    }

    /// Counts received bytes. Returns how many may be received by the next read.
    pub fn receive(&mut self, bytes: usize, now: Instant) -> usize {
        self.unmarked += bytes;
        if self.activity == Activity::Idle {
            self.head_began = now;
            self.head_bytes = 0;
            self.progress(Activity::Head, now);
        } else if self.unmarked >= PROGRESS_BYTES {
            self.progress(self.activity, now);
        }
        match self.activity {
            Activity::Head => self.head_bytes += bytes,
            Activity::Body => {
                self.body_received += bytes;
                self.enlarge_buffer();
                if self.has_large_buffer {
                    return usize::MAX;
                }
            }
            Activity::Idle | Activity::Busy | Activity::Unread => {}
        }
        READ_SIZE
    }

    /// Returns when the head that is being received began; `None` if there is none.
    #[must_use]
    pub fn head_began(&self) -> Option<Instant> {
        (self.activity == Activity::Head).then_some(self.head_began)
    }

    /// Records that the connection now does `activity`.
    pub fn begin(&mut self, activity: Activity) {
        self.progress(activity, Instant::now());
    }

    /// Records the memory that the body of the request holds.
    pub const fn set_body(&mut self, bytes: usize) {
        self.body_bytes = bytes;
    }

    /// Records whether the caller reads what is written.
    pub fn set_unread(&mut self, is_unread: bool, now: Instant) {
        self.unread_since = is_unread.then(|| self.unread_since.unwrap_or(now));
    }

    /// Records the end of a request, and releases its memory.
    pub fn end_request(&mut self) {
        self.begin(Activity::Idle);
        self.head_bytes = 0;
        self.body_bytes = 0;
        self.body_received = 0;
        // A smaller reservation is always allowed.
        let _ = self.reserve();
    }

    /// Returns whether a request is being handled whose caller still reads or sends.
    #[must_use]
    pub const fn is_in_request(&self) -> bool {
        self.unread_since.is_none() && matches!(self.activity, Activity::Body | Activity::Busy)
    }

    fn progress(&mut self, activity: Activity, now: Instant) {
        self.activity = activity;
        self.progress_at = now;
        self.unmarked = 0;
    }
}
