//! Executions that were given up while their endpoints may still run them.
//!
//! Load pattern: a request that is sent to one endpoint after the other, each of which takes
//! longer than the request waits for it, and crashes then.

use std::collections::HashMap;

use crate::ids;
use crate::poison;
use crate::runtime;

/// Maximum number of executions kept for an endpoint; later ones are not watched.
const MAX_EXECUTIONS: usize = 64;

#[derive(Clone, Debug)]
struct Row {
    suspect: poison::Suspect,
    /// Time until which the endpoint may run it.
    until: runtime::Moment,
}

/// Executions given up, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Doubts {
    rows: HashMap<ids::EndpointId, Vec<Row>>,
}

impl Doubts {
    /// Adds an execution that the endpoint may go on with until then. Returns whether it is
    /// the first one there, so that the endpoint is to be watched from now on.
    pub fn add(
        &mut self,
        endpoint: &ids::EndpointId,
        suspect: poison::Suspect,
        until: runtime::Moment,
    ) -> bool {
        let rows = self.rows.entry(endpoint.clone()).or_default();
        let is_first = rows.is_empty();
        if rows.len() < MAX_EXECUTIONS {
            rows.push(Row { suspect, until });
        }
        is_first
    }

    /// Drops the executions that were over at `checked`, when the endpoint was last seen
    /// alive, and those of requests that were answered. Returns whether any is left.
    pub fn retain(&mut self, endpoint: &ids::EndpointId, checked: runtime::Moment) -> bool {
        let Some(rows) = self.rows.get_mut(endpoint) else {
            return false;
        };
        rows.retain(|row| row.until > checked && !row.suspect.visit.is_answered());
        let is_left = !rows.is_empty();
        if !is_left {
            self.rows.remove(endpoint);
        }
        is_left
    }

    /// Removes the executions of an endpoint that has crashed, and returns what is suspected.
    pub fn take(&mut self, endpoint: &ids::EndpointId) -> Vec<poison::Suspect> {
        let rows = self.rows.remove(endpoint).unwrap_or_default();
        rows.into_iter().map(|row| row.suspect).collect()
    }
}
