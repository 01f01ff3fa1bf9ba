//! Groups of the stand-in log, whose members divide partitions among themselves.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use crate::ids;
use crate::peers;
use crate::platform::group;

/// Number of partitions of each topic.
const PARTITIONS: u32 = 12;

type PartitionKey = (Arc<str>, u32);

#[derive(Debug)]
struct Member {
    expires_at: Instant,
    /// Last generation that it is known to have received.
    acknowledged: ids::DivisionGeneration,
}

/// Members of a group, and the partitions that they hold.
#[derive(Debug, Default)]
pub struct Group {
    generation: ids::DivisionGeneration,
    members: BTreeMap<peers::Member, Member>,
    owners: HashMap<PartitionKey, peers::Member>,
}

impl Group {
    /// Joins a member or keeps it in the group. A partition passes on once its owner has
    /// acknowledged the division without it, or has expired.
    pub(super) fn join(&mut self, req: &group::Join, now: Instant) -> group::Membership {
        let count = self.members.len();
        self.members
            .retain(|name, member| member.expires_at > now || *name == req.member);
        let is_new = !self.members.contains_key(&req.member);
        if is_new || self.members.len() < count {
            self.generation = self.generation.next();
        }
        let member = Member {
            expires_at: now + req.ttl_ms.duration(),
            acknowledged: req.generation,
        };
        self.members.insert(req.member.clone(), member);
        let partitions = req
            .topics
            .iter()
            .flat_map(|topic| (0..PARTITIONS).map(|part| (Arc::clone(topic), part)));
        let names: Vec<_> = self.members.keys().cloned().collect();
        let mut held = Vec::new();
        for (i, key) in partitions.enumerate() {
            if names[i % names.len()] == req.member && self.is_free(&key, &req.member) {
                held.push((Arc::clone(&key.0), key.1, 0));
                self.owners.insert(key, req.member.clone());
            }
        }
        group::Membership {
            generation: self.generation,
            held,
            era: ids::StoreEra::default(),
        }
    }

    /// Lists the partitions with the members that hold them.
    pub(super) fn owned(&self) -> Vec<group::OwnedPartition> {
        let owners = self.owners.iter();
        owners
            .map(|((topic, part), member)| (Arc::clone(topic), *part, member.clone(), 0))
            .collect()
    }

    fn is_free(&self, key: &PartitionKey, member: &peers::Member) -> bool {
        let Some(owner) = self.owners.get(key) else {
            return true;
        };
        let has_released = |owner: &Member| owner.acknowledged >= self.generation;
        owner == member || self.members.get(owner).is_none_or(has_released)
    }
}
