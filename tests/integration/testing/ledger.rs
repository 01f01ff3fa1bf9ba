//! What the `control` stream of a cluster's log leads to.

use quetzalworks::ids::{Fence, Offset};
use quetzalworks::ledger::{Body, Entry, Ledger, Record};
use quetzalworks::platform::Stream;

use crate::testing::cluster::Cluster;
use crate::testing::wait;

/// A record, and whether it had an effect.
pub struct Applied {
    pub offset: u64,
    pub body: Body,
    pub effective: bool,
}

impl Applied {
    /// The fencing number that the record names.
    pub const fn fence(&self) -> Option<Fence> {
        match &self.body {
            Body::Rollout { fence, .. }
            | Body::Allotment { fence, .. }
            | Body::Estimates { fence, .. } => Some(*fence),
            _ => None,
        }
    }
}

/// The ledger and the records that led to it.
pub fn replay(cluster: &Cluster) -> (Ledger, Vec<Applied>) {
    let mut ledger = Ledger::default();
    let mut records = Vec::new();
    for (record, offset) in cluster.log.records(Stream::Control).into_iter().zip(0..) {
        let entry: Option<Entry> = serde_json::from_value(record).ok();
        let record = Record {
            offset: Offset(offset),
            entry,
        };
        let effective = ledger.apply(&record);
        records.extend(record.entry.map(|entry| Applied {
            offset,
            body: entry.body,
            effective,
        }));
    }
    (ledger, records)
}

/// The number of the entry that holds the lease, and its fencing number.
pub fn holder(cluster: &Cluster) -> Option<(usize, Fence)> {
    let row = replay(cluster).0.state().lease.clone()?;
    let vm = row.holder?.vm;
    let of = cluster
        .entries
        .iter()
        .position(|entry| entry.vm == vm.as_str())?;
    Some((of, row.fence))
}

/// Waits until an entry holds the lease.
pub fn wait_holder(cluster: &Cluster) -> (usize, Fence) {
    wait::until("the lease is held", || holder(cluster).is_some());
    holder(cluster).unwrap()
}

/// Waits until a later claim than `fence` has been accepted.
pub fn wait_successor(cluster: &Cluster, fence: Fence) -> (usize, Fence) {
    let later = || holder(cluster).filter(|(_, later)| *later > fence);
    wait::until("another entry holds the lease", || later().is_some());
    later().unwrap()
}
