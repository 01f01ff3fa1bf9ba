//! An entry's share of the quota of a rollout step.

use std::sync::atomic::{AtomicU64, Ordering};

/// Answers that this entry may still draw from a version in rollout.
///
/// The sum over all entries never exceeds the profile's bound; what a dead entry had left
/// is lost.
#[derive(Debug, Default)]
pub struct Allotment {
    granted: AtomicU64,
    spent: AtomicU64,
}

impl Allotment {
    /// Creates an allotment of `granted` answers.
    #[must_use]
    pub const fn new(granted: u64) -> Self {
        Self {
            granted: AtomicU64::new(granted),
            spent: AtomicU64::new(0),
        }
    }

    /// Takes one answer; returns `false` if none is left.
    pub fn try_spend(&self) -> bool {
        let granted = self.granted.load(Ordering::Acquire);
        self.spent
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |spent| {
                (spent < granted).then_some(spent + 1)
            })
            .is_ok()
    }

    /// Raises the grant to `granted` answers in total since the start of the rollout; never
    /// lowers it.
    pub fn raise_to(&self, granted: u64) {
        self.granted.fetch_max(granted, Ordering::AcqRel);
    }

    /// Returns the answers granted since the start of the rollout.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Acquire)
    }

    /// Returns the answers taken since the start of the rollout.
    #[must_use]
    pub fn answers_used(&self) -> u64 {
        self.spent.load(Ordering::Acquire)
    }

    /// Returns the answers that may still be taken.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.granted
            .load(Ordering::Acquire)
            .saturating_sub(self.answers_used())
    }
}
