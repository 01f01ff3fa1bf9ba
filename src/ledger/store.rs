//! The ledger: lease, rollouts, grants, estimates and crashes.

use std::sync::Arc;

use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;
use crate::rollout;

/// Maximum number of crashes kept. Older ones are evicted in log order, which is
/// the same in every process. Suspicion lasts an hour, and a checkpoint with this
/// many crashes of 64 requests each still fits into a frame.
const MAX_CRASHES: usize = 64;

/// All control state; a pure function of the records applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    state: ledger::State,
    applied: Option<ids::Offset>,
}

impl Ledger {
    /// Returns the state after the last applied record.
    #[must_use]
    pub const fn state(&self) -> &ledger::State {
        &self.state
    }

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

    /// Applies a record and returns whether it was accepted. Records that are
    /// already covered have no effect, so an old checkpoint that was appended late
    /// reverts nothing.
    pub fn apply(&mut self, record: &ledger::Record) -> bool {
        if self.applied.is_some_and(|applied| record.offset <= applied) {
            return false;
        }
        let changed = record
            .entry
            .as_ref()
            .is_some_and(|entry| self.apply_entry(record.offset, entry));
        self.applied = self.applied.max(Some(record.offset));
        changed
    }

    /// Creates a checkpoint of the current state; `None` before the first record.
    #[must_use]
    pub fn checkpoint(&self) -> Option<ledger::Checkpoint> {
        self.applied.map(|covers| ledger::Checkpoint {
            covers,
            state: self.state.clone(),
        })
    }

    /// Replaces the state if the checkpoint covers more records than are applied;
    /// returns whether it did.
    pub fn apply_checkpoint(&mut self, checkpoint: &ledger::Checkpoint) -> bool {
        if self.applied >= Some(checkpoint.covers) {
            return false;
        }
        self.state = checkpoint.state.clone();
        self.applied = Some(checkpoint.covers);
        true
    }

    fn apply_entry(&mut self, offset: ids::Offset, entry: &ledger::Message) -> bool {
        match &entry.body {
            ledger::Body::Lease {
                holder,
                base,
                action,
            } => self.apply_lease(offset, entry.id, holder, *base, *action),
            ledger::Body::Rollout { fence, rollout, to } => {
                self.is_current(*fence) && self.apply_transition(rollout, to)
            }
            ledger::Body::Allotment {
                fence,
                rollout,
                step,
                bound,
                grants,
            } => self.is_current(*fence) && self.apply_grants(rollout, *step, *bound, grants),
            ledger::Body::Estimates {
                fence,
                evidence,
                cells,
                steps,
            } => {
                let current = self.is_current(*fence);
                if current {
                    self.state.published = ledger::Published {
                        evidence: *evidence,
                        cells: cells.clone(),
                    };
                    for step in steps {
                        self.apply_step_evidence(step);
                    }
                }
                current
            }
            ledger::Body::Crash(report) => self.apply_crash(report),
            ledger::Body::Checkpoint(checkpoint) => self.apply_checkpoint(checkpoint),
        }
    }

    /// Whether the fencing token is that of the lease at this point of the stream.
    fn is_current(&self, fence: ids::Fence) -> bool {
        self.state
            .lease
            .as_ref()
            .is_some_and(|row| row.holder.is_some() && row.fence == fence)
    }

    fn apply_lease(
        &mut self,
        offset: ids::Offset,
        id: ids::ChangeId,
        holder: &lease::Holder,
        base: Option<ids::Offset>,
        action: ledger::LeaseAction,
    ) -> bool {
        let present = self.state.lease.as_ref();
        if base != present.map(|row| row.last) {
            return false;
        }
        let fence = match action {
            ledger::LeaseAction::Claim => Some(ids::Fence(offset.0)),
            ledger::LeaseAction::Renew | ledger::LeaseAction::Release => present
                .filter(|row| row.holder.as_ref() == Some(holder))
                .map(|row| row.fence),
        };
        let Some(fence) = fence else { return false };
        self.state.lease = Some(ledger::LeaseRow {
            last: offset,
            id,
            fence,
            holder: (action != ledger::LeaseAction::Release).then(|| holder.clone()),
        });
        true
    }

    fn apply_transition(&mut self, name: &Arc<str>, to: &ledger::RolloutTransition) -> bool {
        if let ledger::RolloutTransition::Start { profile, version } = to {
            let same = self.state.rollouts.get(name).is_some_and(|row| {
                row.progress.profile() == profile && row.progress.version() == version
            });
            if !same {
                let row = ledger::RolloutRow {
                    progress: rollout::Progress::start(profile.clone(), version.clone()),
                    grants: Vec::new(),
                    granted_before: 0,
                    ratings: estimate::Estimate::default(),
                };
                self.state.rollouts.insert(Arc::clone(name), row);
            }
            return !same;
        }
        let Some(row) = self.state.rollouts.get_mut(name) else {
            return false;
        };
        let Some(progress) = row.progress.apply(to) else {
            return false;
        };
        row.progress = progress;
        row.granted_before = row.granted();
        row.ratings = estimate::Estimate::default();
        true
    }

    /// Accepts all grants of a record or none, so that the sum over all entries
    /// stays within the limit even if the writer had an outdated view of it.
    fn apply_grants(
        &mut self,
        name: &Arc<str>,
        step: u32,
        bound: u64,
        grants: &[ledger::Grant],
    ) -> bool {
        let Some(row) = self.state.rollouts.get_mut(name) else {
            return false;
        };
        if row.progress.step() != Some(step) {
            return false;
        }
        let mut updated = row.clone();
        for grant in grants {
            match updated
                .grants
                .iter_mut()
                .find(|other| other.has_same_recipient(grant))
            {
                Some(present) => present.total = present.total.max(grant.total),
                None => updated.grants.push(grant.clone()),
            }
        }
        let accepted = updated.granted_in_step() <= bound && updated != *row;
        if accepted {
            *row = updated;
        }
        accepted
    }

    fn apply_step_evidence(&mut self, evidence: &ledger::StepEvidence) {
        if let Some(row) = self.state.rollouts.get_mut(&evidence.rollout)
            && row.progress.step() == Some(evidence.step)
        {
            row.ratings = evidence.ratings;
        }
    }

    fn apply_crash(&mut self, report: &fleet::CrashReport) -> bool {
        if self.has_crash(report) {
            return false;
        }
        self.state.crashes.push_back(report.clone());
        if self.state.crashes.len() > MAX_CRASHES {
            self.state.crashes.pop_front();
        }
        true
    }

    /// Whether this crash is recorded already.
    #[must_use]
    pub fn has_crash(&self, report: &fleet::CrashReport) -> bool {
        let id = report.id();
        self.state.crashes.iter().any(|known| known.id() == id)
    }
}
