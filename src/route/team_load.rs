//! Requests of each team that run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::errors;
use crate::ids;
use crate::units;

/// Hint to a team at its limit.
const RETRY_AFTER: units::Millis = units::Millis(1_000);

/// Counts running requests by team. A team without any has no entry, which bounds the table.
#[derive(Clone, Debug, Default)]
pub struct TeamLoad {
    running: Arc<Mutex<HashMap<ids::TeamName, u32>>>,
}

/// A place within a team's limit; given back when dropped.
#[derive(Debug)]
pub struct TeamPermit {
    team: ids::TeamName,
    load: TeamLoad,
}

impl TeamLoad {
    /// Takes a place.
    pub fn enter(&self, team: &ids::TeamName, max: u32) -> Result<TeamPermit, errors::Refusal> {
        let mut running = self.lock();
        let count = running.get(team).copied().unwrap_or(0);
        if count >= max {
            let reason = format!("the team has {max} requests running at this entry");
            return Err(errors::Refusal::new(errors::ResultCode::Overloaded, reason)
                .retry_after(RETRY_AFTER));
        }
        running.insert(team.clone(), count + 1);
        Ok(TeamPermit {
            team: team.clone(),
            load: self.clone(),
        })
    }

    /// Requests of the team that run.
    #[must_use]
    pub fn running(&self, team: &ids::TeamName) -> u32 {
        self.lock().get(team).copied().unwrap_or(0)
    }

    /// Requests of all teams that run.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::TeamName, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
