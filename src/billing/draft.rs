//! The usage record of a request that has not ended.

use std::sync::Arc;

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::errors;
use crate::estimate;
use crate::ids;
use crate::units;

/// Collects the attempts at one request.
#[derive(Debug)]
pub struct Draft {
    record: billing::UsageRecord,
    spent: Vec<Spent>,
    ran: bool,
}

/// What all attempts on one version used.
#[derive(Debug)]
struct Spent {
    version: Arc<catalog::Version>,
    usage: attempt::Usage,
}

impl Draft {
    /// A record without attempts.
    #[must_use]
    pub const fn new(
        request: ids::RequestId,
        team: ids::TeamName,
        written_by: ids::VmName,
    ) -> Self {
        Self {
            record: billing::UsageRecord {
                request,
                team,
                profile: None,
                service: None,
                class: None,
                usage: attempt::Usage {
                    prompt: units::Tokens(0),
                    output: units::Tokens(0),
                },
                cost: units::MicroCost(0),
                result: None,
                ended_at: units::Millis(0),
                written_by,
                attempts: Vec::new(),
            },
            spent: Vec::new(),
            ran: false,
        }
    }

    /// The request is one for a model.
    #[must_use]
    pub fn for_model(mut self, profile: ids::ProfileName, class: estimate::RequestClass) -> Self {
        self.record.profile = Some(profile);
        self.record.class = Some(class);
        self
    }

    /// The request is a call of a plain service.
    #[must_use]
    pub fn for_service(mut self, service: ids::ServiceName) -> Self {
        self.record.service = Some(service);
        self
    }

    /// An attempt begins.
    pub fn begin(&mut self, attempt: billing::AttemptRecord) {
        self.record.attempts.push(attempt);
    }

    /// The last attempt did not give the answer.
    pub fn failed(&mut self, refusal: &errors::Refusal) {
        if let Some(attempt) = self.record.attempts.last_mut() {
            attempt.result = Some(refusal.code);
            attempt.message = Some(Arc::clone(&refusal.message));
        }
    }

    /// The last attempt has run or may have run.
    pub const fn mark_ran(&mut self) {
        self.ran = true;
    }

    /// Whether an attempt has run or may have run.
    #[must_use]
    pub const fn ran(&self) -> bool {
        self.ran
    }

    /// Adds what an attempt used. The prompt of a request is charged once
    /// for each version: a resumed attempt reads it again for the router's own sake.
    pub fn spend(&mut self, version: &Arc<catalog::Version>, usage: attempt::Usage) {
        let known = self
            .spent
            .iter_mut()
            .find(|spent| Arc::ptr_eq(&spent.version, version));
        match known {
            Some(spent) => {
                spent.usage.prompt = spent.usage.prompt.max(usage.prompt);
                spent.usage.output = spent.usage.output.saturating_add(usage.output);
            }
            None => self.spent.push(Spent {
                version: Arc::clone(version),
                usage,
            }),
        }
    }

    /// Cost of all attempts so far.
    #[must_use]
    pub fn cost(&self) -> units::MicroCost {
        self.spent
            .iter()
            .map(|spent| spent.version.cost(spent.usage.prompt, spent.usage.output))
            .fold(units::MicroCost(0), units::MicroCost::saturating_add)
    }

    /// Tokens of all attempts so far.
    #[must_use]
    pub fn usage(&self) -> attempt::Usage {
        self.spent
            .iter()
            .fold(attempt::Usage::default(), |sum, spent| attempt::Usage {
                prompt: sum.prompt.saturating_add(spent.usage.prompt),
                output: sum.output.saturating_add(spent.usage.output),
            })
    }

    /// The record; `None` where nothing ran.
    #[must_use]
    pub fn finish(
        mut self,
        result: Option<errors::ResultCode>,
        ended_at: units::Millis,
    ) -> Option<billing::UsageRecord> {
        self.record.cost = self.cost();
        self.record.usage = self.usage();
        self.record.result = result;
        self.record.ended_at = ended_at;
        self.ran.then_some(self.record)
    }
}
