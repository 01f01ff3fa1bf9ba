//! Running requests of each team at this entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::errors;
use crate::ids;
use crate::units;

/// Retry hint for a team that is at its limit.
const RETRY_AFTER: units::Millis = units::Millis(1_000);

/// Counts running requests by team. A team without running requests has no record, which
/// bounds the table.
#[derive(Clone, Debug, Default)]
pub struct TeamLoad {
    running: Arc<Mutex<HashMap<ids::TeamName, u32>>>,
}

/// Slot within a team's concurrency limit; released when dropped.
#[derive(Debug)]
pub struct TeamPermit {
    team: ids::TeamName,
    load: TeamLoad,
}

impl TeamLoad {
    /// Takes a slot for the team. Refuses with `Overloaded` and a retry hint if the team
    /// already has `max` running requests.
    pub fn acquire(&self, team: &ids::TeamName, max: u32) -> Result<TeamPermit, errors::Refusal> {
        let mut running = self.lock();
        let count = running.get(team).copied().unwrap_or(0);
        check(count, max)?;
        running.insert(team.clone(), count + 1);
        Ok(TeamPermit {
            team: team.clone(),
            load: self.clone(),
        })
    }

    /// Refuses like [`Self::acquire`], without taking a slot.
    pub fn check(&self, team: &ids::TeamName, max: u32) -> Result<(), errors::Refusal> {
        check(self.running(team), max)
    }

    /// Returns the number of running requests of the team.
    #[must_use]
    pub fn running(&self, team: &ids::TeamName) -> u32 {
        self.lock().get(team).copied().unwrap_or(0)
    }

    /// Returns the number of running requests of all teams.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::TeamName, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn check(count: u32, max: u32) -> Result<(), errors::Refusal> {
    if count < max {
        return Ok(());
    }
    let reason = format!("the team has {max} requests running at this entry");
    Err(errors::Refusal::new(errors::ResultCode::Overloaded, reason).with_retry_after(RETRY_AFTER))
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        let mut running = self.load.lock();
        match running.get_mut(&self.team) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                running.remove(&self.team);
            }
        }
    }
}
