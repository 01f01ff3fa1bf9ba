//! Calls by which entries divide numbered leases among themselves, as members of a group.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;

use crate::ids;
use crate::peers;
use crate::units;

/// Group of the entries.
pub(super) const GROUP: &str = "entries";
/// Prefix of the topics whose partitions are the leases. They hold no records.
const TOPIC_PREFIX: &str = "share-";
/// Number of these topics.
pub const TOPIC_COUNT: u32 = 8;

/// A request to join the group, or to stay in it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Join {
    #[serde(rename = "group")]
    group: Arc<str>,
    /// Name of the member.
    pub member: peers::Member,
    /// Topics whose partitions are divided.
    pub topics: Vec<Arc<str>>,
    /// Time after which the member counts as gone unless it joins again.
    pub ttl_ms: units::Millis,
    /// Generation of the last answer.
    pub generation: ids::DivisionGeneration,
}

impl Join {
    /// Creates a request that keeps the membership for `ttl`.
    #[must_use]
    pub fn new(member: peers::Member, ttl: Duration, generation: ids::DivisionGeneration) -> Self {
        Self {
            group: GROUP.into(),
            member,
            topics: (0..TOPIC_COUNT)
                .map(|i| format!("{TOPIC_PREFIX}{i}").into())
                .collect(),
            ttl_ms: ttl.into(),
            generation,
        }
    }

    /// Encodes the body of the request.
    pub fn encode(&self) -> serde_json::Result<Bytes> {
        serde_json::to_vec(self).map(Bytes::from)
    }
}

/// A partition that a member holds, with its committed offset.
pub type HeldPartition = (Arc<str>, u32, i64);

/// Answer to a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Membership {
    /// Generation of the division, which increases with each change.
    pub generation: ids::DivisionGeneration,
    /// Partitions that the member holds.
    #[serde(rename = "parts")]
    pub held: Vec<HeldPartition>,
    /// Era of the store that has answered. Generations of different eras can't be compared.
    #[serde(skip)]
    pub era: ids::StoreEra,
}

impl Membership {
    /// Returns the leases that the member holds, in order of their numbers. The partitions of
    /// all topics are `all` leases; those of other topics are left out.
    #[must_use]
    pub fn leases(&self, all: u32) -> Arc<[ids::LeaseNumber]> {
        let partitions = all / TOPIC_COUNT;
        let number = |(topic, partition, _): &HeldPartition| {
            let topic: u32 = topic.strip_prefix(TOPIC_PREFIX)?.parse().ok()?;
            let is_known = topic < TOPIC_COUNT && *partition < partitions;
            is_known.then(|| ids::LeaseNumber(topic * partitions + partition))
        };
        let mut leases: Vec<_> = self.held.iter().filter_map(number).collect();
        leases.sort_unstable();
        leases.into()
    }
}

/// A partition with the member that holds it: topic, partition, member and offset.
pub type OwnedPartition = (Arc<str>, u32, peers::Member, i64);

/// Decodes the answer with the members of the group, without repetitions; rows of other
/// programs are left out. `None` where it has no rows.
#[must_use]
pub fn decode_owners(body: &[u8]) -> Option<Vec<peers::Member>> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let rows = match &value {
        serde_json::Value::Object(fields) => {
            fields.values().find_map(serde_json::Value::as_array)?
        }
        other => other.as_array()?,
    };
    let mut members: Vec<peers::Member> = rows
        .iter()
        .filter_map(|row| row.get(2)?.as_str()?.parse().ok())
        .collect();
    members.sort();
    members.dedup();
    Some(members)
}
