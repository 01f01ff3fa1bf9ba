//! The ledger, rebuilt from the `control` stream of a cluster's log.

use quetzalworks::ids::{Fence, Offset};
use quetzalworks::ledger::{Body, Ledger, Message, Record};
use quetzalworks::platform::Stream;

use crate::testing::cluster::Cluster;
use crate::testing::wait;

/// A record of the `control` stream after its application.
pub struct ReplayedRecord {
    pub offset: u64,
    pub body: Body,
    /// Whether the record had an effect on the ledger.
    pub had_effect: bool,
}

impl ReplayedRecord {
    /// Returns the fencing number in the record; `None` for kinds without one.
    pub const fn fence(&self) -> Option<Fence> {
        match &self.body {
            Body::Rollout { fence, .. }
            | Body::Allotment { fence, .. }
            | Body::Estimates { fence, .. } => Some(*fence),
            _ => None,
        }
    }
}

/// Replays the `control` stream; returns the ledger and the decodable records.
pub fn replay(cluster: &Cluster) -> (Ledger, Vec<ReplayedRecord>) {
    let mut ledger = Ledger::default();
    let mut records = Vec::new();
    for (record, offset) in cluster.log.records(Stream::Control).into_iter().zip(0..) {
        let entry: Option<Message> = serde_json::from_value(record).ok();
        let record = Record {
            offset: Offset(offset),
            entry,
        };
        let had_effect = ledger.apply(&record);
        records.extend(record.entry.map(|entry| ReplayedRecord {
            offset,
            body: entry.body,
            had_effect,
        }));
    }
    (ledger, records)
}

/// Returns the index of the entry that holds the lease, and its fencing number;
/// `None` if no entry of the cluster holds it.
pub fn lease_holder(cluster: &Cluster) -> Option<(usize, Fence)> {
    let row = replay(cluster).0.state().lease.clone()?;
    let vm = row.holder?.vm;
    let index = cluster
        .entries
        .iter()
        .position(|entry| entry.vm == vm.as_str())?;
    Some((index, row.fence))
}

/// Waits until an entry holds the lease; returns it as [`lease_holder`] does.
pub fn wait_holder(cluster: &Cluster) -> (usize, Fence) {
    wait::until("the lease is held", || lease_holder(cluster).is_some());
    lease_holder(cluster).unwrap()
}

/// Waits until an entry holds the lease with a higher fencing number than `fence`.
pub fn wait_later_claim(cluster: &Cluster, fence: Fence) -> (usize, Fence) {
    let later = || lease_holder(cluster).filter(|(_, later)| *later > fence);
    wait::until("a later claim holds the lease", || later().is_some());
    later().unwrap()
}
