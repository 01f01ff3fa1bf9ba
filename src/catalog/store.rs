//! The catalog: all current configuration objects.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::catalog;
use crate::ids;

/// Maximum number of verdicts kept for writers that query them. Older ones are
/// evicted in log order, which is the same in every process.
const MAX_VERDICTS: usize = 4_096;

/// A stored object with its revision.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StoredObject {
    /// Revision that the last accepted change gave to the object.
    pub revision: ids::Revision,
    /// Content; `None` once deleted. The revision of a deleted object is kept, so
    /// that a late duplicate of the change that created it conflicts in every process.
    pub object: Option<catalog::Object>,
}

/// All current configuration; a pure function of the records applied.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<catalog::ObjectId, StoredObject>,
    applied: Option<ids::Offset>,
    verdicts: HashMap<ids::ChangeId, catalog::ChangeOutcome>,
    verdict_order: VecDeque<ids::ChangeId>,
}

impl Catalog {
    /// Offset of the last applied record; `None` before the first.
    #[must_use]
    pub const fn applied(&self) -> Option<ids::Offset> {
        self.applied
    }

    /// Offset of the first record that is not applied yet.
    #[must_use]
    pub fn next_offset(&self) -> ids::Offset {
        self.applied.map_or(ids::Offset(0), ids::Offset::next)
    }

    /// Returns an object with its revision; `None` if it is deleted or never existed.
    #[must_use]
    pub fn get(&self, id: &catalog::ObjectId) -> Option<(ids::Revision, &catalog::Object)> {
        let stored = self.entries.get(id)?;
        stored
            .object
            .as_ref()
            .map(|object| (stored.revision, object))
    }

    /// Returns the revision on which the next change of the object must be based:
    /// that of the deletion for a deleted object, 0 for one that never existed.
    #[must_use]
    pub fn revision(&self, id: &catalog::ObjectId) -> ids::Revision {
        self.entries
            .get(id)
            .map_or(ids::Revision(0), |stored| stored.revision)
    }

    /// Iterates over all objects that are not deleted, in order of their ids.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (&catalog::ObjectId, ids::Revision, &catalog::Object)> {
        self.entries.iter().filter_map(|(id, stored)| {
            stored
                .object
                .as_ref()
                .map(|object| (id, stored.revision, object))
        })
    }

    /// Returns the verdict on a change; `None` if its record is not applied yet or
    /// the verdict has been evicted.
    #[must_use]
    pub fn change_outcome(&self, id: ids::ChangeId) -> Option<catalog::ChangeOutcome> {
        self.verdicts.get(&id).copied()
    }

    /// Applies a record and returns the verdict if it is a change. Records that are
    /// already covered have no effect, so an old checkpoint that was appended late
    /// reverts nothing. A duplicate of a change returns the first verdict.
    pub fn apply(&mut self, record: &catalog::Record) -> Option<catalog::ChangeOutcome> {
        if self.applied.is_some_and(|applied| record.offset <= applied) {
            return None;
        }
        let verdict = match &record.body {
            Some(catalog::Body::Change(change)) => Some(self.apply_change(record.offset, change)),
            Some(catalog::Body::Checkpoint(checkpoint)) => {
                self.apply_checkpoint(checkpoint);
                None
            }
            None => None,
        };
        self.applied = self.applied.max(Some(record.offset));
        verdict
    }

    /// Creates a checkpoint of the current state; `None` before the first record.
    #[must_use]
    pub fn checkpoint(&self) -> Option<catalog::Checkpoint> {
        let entries = self
            .entries
            .iter()
            .map(|(id, stored)| (id.clone(), stored.clone()))
            .collect();
        self.applied
            .map(|covers| catalog::Checkpoint { covers, entries })
    }

    /// Replaces the state if the checkpoint covers more records than are applied.
    pub fn apply_checkpoint(&mut self, checkpoint: &catalog::Checkpoint) {
        if self
            .applied
            .is_some_and(|applied| checkpoint.covers <= applied)
        {
            return;
        }
        self.entries = checkpoint.entries.iter().cloned().collect();
        self.applied = Some(checkpoint.covers);
    }

    fn apply_change(
        &mut self,
        offset: ids::Offset,
        change: &catalog::Change,
    ) -> catalog::ChangeOutcome {
        if let Some(first) = self.verdicts.get(&change.id) {
            return *first;
        }
        let verdict = match self.reject_reason(change) {
            Some(reason) => catalog::ChangeOutcome::Rejected { offset, reason },
            None => self.put(offset, change),
        };
        self.remember_verdict(change.id, verdict);
        verdict
    }

    fn reject_reason(&self, change: &catalog::Change) -> Option<catalog::RejectReason> {
        let current = self
            .entries
            .get(&change.object)
            .map_or(ids::Revision(0), |stored| stored.revision);
        if change.base != current {
            return Some(catalog::RejectReason::Conflict { current });
        }
        match &change.content {
            Some(object) if object.kind() != change.object.kind => {
                Some(catalog::RejectReason::WrongKind)
            }
            None if self.get(&change.object).is_none() => Some(catalog::RejectReason::Missing),
            _ => None,
        }
    }

    fn put(&mut self, offset: ids::Offset, change: &catalog::Change) -> catalog::ChangeOutcome {
        let revision = ids::Revision(offset.0).next();
        let stored = StoredObject {
            revision,
            object: change.content.clone(),
        };
        self.entries.insert(change.object.clone(), stored);
        catalog::ChangeOutcome::Accepted { offset, revision }
    }

    fn remember_verdict(&mut self, id: ids::ChangeId, verdict: catalog::ChangeOutcome) {
        self.verdicts.insert(id, verdict);
        self.verdict_order.push_back(id);
        if self.verdict_order.len() > MAX_VERDICTS
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }
}
