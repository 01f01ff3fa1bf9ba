//! Queue of the usage records that are not durable yet.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::billing;
use crate::ids;

/// Maximum number of queued records; about 40 MB.
const CAPACITY_RECORDS: usize = 200_000;

/// Requests whose records have become durable, by the VMs that attempted them.
pub type DurableByVm = BTreeMap<ids::VmName, Vec<ids::RequestId>>;

/// Usage records in the order in which their requests ended. A record is kept
/// until its append is confirmed, so that a failed append loses none.
#[derive(Debug)]
pub struct Outbox {
    queued: VecDeque<Arc<billing::UsageRecord>>,
    capacity: usize,
}

impl Default for Outbox {
    fn default() -> Self {
        Self::with_capacity(CAPACITY_RECORDS)
    }
}

impl Outbox {
    /// Creates an empty outbox for at most `capacity` records.
    #[must_use]
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            queued: VecDeque::new(),
            capacity,
        }
    }

    /// Returns whether new requests must be refused. The last quarter of the
    /// capacity is reserved for requests that are already running.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.queued.len() > self.capacity / 4 * 3
    }

    /// Adds a record. Returns false if the outbox is full; the sidecar then appends
    /// its own copy of the record.
    pub fn push(&mut self, record: billing::UsageRecord) -> bool {
        let fits = self.queued.len() < self.capacity;
        if fits {
            self.queued.push_back(Arc::new(record));
        }
        fits
    }

    /// Returns up to `max` of the oldest records, for one append.
    #[must_use]
    pub fn oldest_batch(&self, max: usize) -> Vec<Arc<billing::UsageRecord>> {
        self.queued.iter().take(max).map(Arc::clone).collect()
    }

    /// Removes durable records and returns them by the VMs that attempted them.
    /// They are among the oldest, so the search ends early even in a full outbox.
    pub fn confirm(&mut self, durable: &HashSet<ids::RequestId>) -> DurableByVm {
        let mut by_vm = DurableByVm::new();
        let mut kept = Vec::new();
        let mut remaining = durable.len();
        while remaining > 0
            && let Some(record) = self.queued.pop_front()
        {
            if !durable.contains(&record.request) {
                kept.push(record);
                continue;
            }
            remaining -= 1;
            let vms: HashSet<_> = record.attempts.iter().map(|attempt| &attempt.vm).collect();
            for vm in vms {
                by_vm.entry(vm.clone()).or_default().push(record.request);
            }
        }
        for record in kept.into_iter().rev() {
            self.queued.push_front(record);
        }
        by_vm
    }

    /// Returns the number of queued records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether no record is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
