//! Usage records that are not durable yet.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::billing;
use crate::ids;

/// Most records that wait; about 40 MB.
const CAPACITY: usize = 200_000;

/// Requests whose records are durable, by the VMs that ran them.
pub type Durable = BTreeMap<ids::VmName, Vec<ids::RequestId>>;

/// Usage records in the order in which their requests ended. A record stays
/// until it is confirmed, so a failed append loses none.
#[derive(Debug)]
pub struct Outbox {
    waiting: VecDeque<Arc<billing::UsageRecord>>,
    capacity: usize,
}

impl Default for Outbox {
    fn default() -> Self {
        Self::with_capacity(CAPACITY)
    }
}

impl Outbox {
    /// An empty outbox for at most `capacity` records.
    #[must_use]
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            capacity,
        }
    }

    /// Whether new requests must be refused. The last quarter is left for
    /// requests that already run.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.waiting.len() > self.capacity / 4 * 3
    }

    /// Adds a record; false where there is no room. The process beside the
    /// endpoint then appends its copy.
    pub fn push(&mut self, record: billing::UsageRecord) -> bool {
        let fits = self.waiting.len() < self.capacity;
        if fits {
            self.waiting.push_back(Arc::new(record));
        }
        fits
    }

    /// The oldest records, for one append.
    #[must_use]
    pub fn group(&self, max: usize) -> Vec<Arc<billing::UsageRecord>> {
        self.waiting.iter().take(max).map(Arc::clone).collect()
    }

    /// Drops durable records and tells which VMs ran them. They are among the
    /// oldest, so the search ends long before the end of a full outbox.
    pub fn confirm(&mut self, durable: &HashSet<ids::RequestId>) -> Durable {
        let mut by_vm = Durable::new();
        let mut kept = Vec::new();
        let mut left = durable.len();
        while left > 0
            && let Some(record) = self.waiting.pop_front()
        {
            if !durable.contains(&record.request) {
                kept.push(record);
                continue;
            }
            left -= 1;
            let vms: HashSet<_> = record.attempts.iter().map(|attempt| &attempt.vm).collect();
            for vm in vms {
                by_vm.entry(vm.clone()).or_default().push(record.request);
            }
        }
        for record in kept.into_iter().rev() {
            self.waiting.push_front(record);
        }
        by_vm
    }

    /// Number of records that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no record waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
