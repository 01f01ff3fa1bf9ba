//! Limit on the memory that buffered bodies, connections and requests take together.
//!
//! Load pattern: a burst of large requests, many callers that stay connected, or a faulty
//! endpoint that sends bytes without end to many requests at once. Limits on each of them
//! alone do not bound their sum.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::units;

/// Size up to which a body is small. Large bodies do not keep out small ones.
const SMALL_BYTES: usize = 16 * 1_024;
/// Divisor of a budget that yields the part which large bodies leave to others.
const RESERVED_PART: usize = 4;

/// Memory for bodies, from which each buffer reserves what it holds.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    /// Limit for large bodies; at most `limit`.
    large_limit: usize,
    /// Whether small bodies count.
    counts_small: bool,
    used: AtomicUsize,
    /// Budget of which this one is a part.
    parent: Option<Arc<Self>>,
    released: event_listener::Event,
}

impl BufferBudget {
    /// Creates a budget that does not count bodies up to 16 KiB.
    #[must_use]
    pub fn new(limit: units::Bytes) -> Arc<Self> {
        Arc::new(Self::with(limit.as_usize(), limit.as_usize(), false, None))
    }

    /// Creates a budget that counts everything, and of which bodies over 16 KiB leave a
    /// quarter to others.
    #[must_use]
    pub fn counting_all(limit: units::Bytes) -> Arc<Self> {
        let limit = limit.as_usize();
        let large_limit = limit - limit / RESERVED_PART;
        Arc::new(Self::with(limit, large_limit, true, None))
    }

    fn with(
        limit: usize,
        large_limit: usize,
        counts_small: bool,
        parent: Option<Arc<Self>>,
    ) -> Self {
        Self {
            limit,
            large_limit,
            counts_small,
            used: AtomicUsize::new(0),
            parent,
            released: event_listener::Event::new(),
        }
    }

    /// Returns the limit on reserved bytes.
    #[must_use]
    pub const fn limit(&self) -> units::Bytes {
        units::Bytes(self.limit as u64)
    }

    /// Returns a future that completes at the next release after this call.
    pub fn released(&self) -> event_listener::EventListener {
        self.released.listen()
    }

    /// Creates a budget whose reservations also count against this one, with a limit of this
    /// one's divided by `divisor`.
    #[must_use]
    pub fn part(self: &Arc<Self>, divisor: usize) -> Arc<Self> {
        let (limit, large_limit) = (self.limit, self.large_limit);
        let divisor = divisor.max(1);
        Arc::new(Self::with(
            limit / divisor,
            large_limit / divisor,
            self.counts_small,
            Some(Arc::clone(self)),
        ))
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn used(&self) -> units::Bytes {
        units::Bytes(self.used.load(Ordering::Acquire) as u64)
    }

    /// Begins a reservation of zero bytes.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Returns by how much `bytes` more exceed the limit of this budget or of those of which it
    /// is a part; zero if they can be reserved.
    fn shortfall(&self, bytes: usize, is_large: bool) -> usize {
        let used = self.used.load(Ordering::Acquire);
        let own = (used + bytes).saturating_sub(self.limit_of(is_large));
        let parent = self.parent.as_ref();
        own.max(parent.map_or(0, |parent| parent.shortfall(bytes, is_large)))
    }

    const fn limit_of(&self, is_large: bool) -> usize {
        if is_large {
            self.large_limit
        } else {
            self.limit
        }
    }

    fn take(&self, bytes: usize, is_large: bool) -> bool {
        let limit = self.limit_of(is_large);
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= limit)
            });
        if taken.is_err() {
            return false;
        }
        let is_taken = self
            .parent
            .as_ref()
            .is_none_or(|parent| parent.take(bytes, is_large));
        if !is_taken {
            self.used.fetch_sub(bytes, Ordering::AcqRel);
        }
        is_taken
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
        if bytes > 0 {
            self.released.notify(usize::MAX);
        }
        if let Some(parent) = &self.parent {
            parent.release(bytes);
        }
    }
}

/// Part of a budget that one buffer holds; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the reservation to that of a body of this size. Returns false, and changes
    /// nothing, if the budget does not allow it.
    #[must_use]
    pub fn resize(&mut self, size: usize) -> bool {
        let (bytes, is_large) = self.counted(size);
        self.resize_to(bytes, is_large)
    }

    /// Returns the number of bytes that others must release for [`Self::resize`] to succeed.
    #[must_use]
    pub fn shortfall(&self, size: usize) -> units::Bytes {
        let (bytes, is_large) = self.counted(size);
        self.shortfall_to(bytes, is_large)
    }

    /// Returns the number of bytes that others must release for [`Self::resize_exactly`] to
    /// succeed.
    #[must_use]
    pub fn shortfall_exactly(&self, bytes: usize) -> units::Bytes {
        self.shortfall_to(bytes, false)
    }

    /// Returns the bytes that a body of this size reserves, and whether it is large.
    fn counted(&self, size: usize) -> (usize, bool) {
        let is_large = size > SMALL_BYTES;
        let is_counted = is_large || self.budget.counts_small;
        (if is_counted { size } else { 0 }, is_large)
    }

    fn shortfall_to(&self, bytes: usize, is_large: bool) -> units::Bytes {
        let additional = bytes.saturating_sub(self.bytes);
        units::Bytes(self.budget.shortfall(additional, is_large) as u64)
    }

    /// Changes the reservation to this size, which is no body and always counts. Returns
    /// false, and changes nothing, if the budget does not allow it.
    #[must_use]
    pub fn resize_exactly(&mut self, bytes: usize) -> bool {
        self.resize_to(bytes, false)
    }

    /// Adds bytes that count like those of a large body. Returns false, and changes nothing,
    /// if the budget does not allow it.
    #[must_use]
    pub fn add_large(&mut self, bytes: usize) -> bool {
        self.resize_to(self.bytes + bytes, true)
    }

    fn resize_to(&mut self, bytes: usize, is_large: bool) -> bool {
        if bytes > self.bytes {
            if !self.budget.take(bytes - self.bytes, is_large) {
                return false;
            }
        } else {
            self.budget.release(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
