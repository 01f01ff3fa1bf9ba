//! Fencing checks of orders to the engine.

use crate::fleet;
use crate::ids;

/// Reason why an order is not forwarded to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A higher fencing number has been seen.
    Stale {
        /// Highest fencing number seen so far.
        highest: ids::Fence,
    },
    /// The last loaded version must not be unloaded while requests run.
    InUse,
}

/// Highest fencing number seen by this process; `None` before the first.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceCheck {
    highest: Option<ids::Fence>,
}

impl FenceCheck {
    /// Records a fencing number that is on record, without an order.
    pub fn observe(&mut self, fence: ids::Fence) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Checks an order against the fencing numbers seen and the engine's state. The number
    /// of an order that is refused as [`OrderRefusal::InUse`] counts as seen all the same.
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
