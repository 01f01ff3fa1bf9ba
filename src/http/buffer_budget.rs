//! Limit on the memory that buffered bodies take together.
//!
//! Load pattern: a burst of large requests, or a faulty endpoint that sends bytes without
//! end to many requests at once. Limits on each body alone do not bound their sum.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::units;

/// Size up to which a body is not counted, so that large bodies do not keep out small ones.
const UNCOUNTED_BYTES: usize = 16 * 1_024;

/// Memory for bodies, from which each buffer reserves what it holds.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: AtomicUsize,
    /// Budget of which this one is a part.
    parent: Option<Arc<Self>>,
}

impl BufferBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limit: units::Bytes) -> Arc<Self> {
        Arc::new(Self {
            limit: limit.as_usize(),
            used: AtomicUsize::new(0),
            parent: None,
        })
    }

    /// Creates a budget whose reservations also count against this one, with a limit of this
    /// one's divided by `divisor`.
    #[must_use]
    pub fn part(self: &Arc<Self>, divisor: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: self.limit / divisor.max(1),
            used: AtomicUsize::new(0),
            parent: Some(Arc::clone(self)),
        })
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

    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            });
        if taken.is_err() {
            return false;
        }
        let is_taken = self.parent.as_ref().is_none_or(|parent| parent.take(bytes));
        if !is_taken {
            self.used.fetch_sub(bytes, Ordering::AcqRel);
        }
        is_taken
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
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
    /// Changes the reservation to that of a buffer of this size. Returns false, and changes
    /// nothing, if the budget does not allow it.
    #[must_use]
    pub fn resize(&mut self, size: usize) -> bool {
        let bytes = if size > UNCOUNTED_BYTES { size } else { 0 };
        if bytes > self.bytes {
            if !self.budget.take(bytes - self.bytes) {
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
