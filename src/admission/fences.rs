//! Checks of orders to the engine.

use crate::fleet;
use crate::ids;

/// Why an order is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A higher fencing number has been seen.
    Stale {
        /// The highest number seen.
        highest: ids::Fence,
    },
    /// The last version may not be unloaded under running requests.
    InUse,
}

/// The highest fencing number seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fences {
    highest: Option<ids::Fence>,
}

impl Fences {
    /// Notes a fencing number that is on record.
    pub fn saw(&mut self, fence: ids::Fence) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Checks an order against the fencing numbers seen and the engine's state.
    /// A number that is refused for another reason has been seen all the same.
    pub fn check(
        &mut self,
        fence: ids::Fence,
        action: &fleet::OrderAction,
        loaded: &[ids::VersionName],
        running: u32,
    ) -> Result<(), OrderRefusal> {
        if let Some(highest) = self.highest.filter(|highest| fence < *highest) {
            return Err(OrderRefusal::Stale { highest });
        }
        self.highest = Some(fence);
        match action {
            fleet::OrderAction::Unload(version)
                if running > 0 && loaded.iter().all(|other| other == version) =>
            {
                Err(OrderRefusal::InUse)
            }
            _ => Ok(()),
        }
    }
}
