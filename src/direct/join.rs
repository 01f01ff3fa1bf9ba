//! Task that keeps this entry a member of the group of entries, among which the store
//! divides the limits that apply to all of them.

use std::time::Duration;

use smol::Timer;

use crate::balance;
use crate::control;
use crate::direct;
use crate::ids;
use crate::platform;
use crate::platform::group;
use crate::runtime;

/// Time between two calls. One of them may fail before the leases expire.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time to the next call after the division has changed. Leases that this entry has lost
/// are assigned to others only once it calls again.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(200);

/// Joins the group as `vm` and stays in it until the process exits.
pub async fn join(
    store: platform::StoreClient,
    vm: ids::VmName,
    control: control::Control<direct::Plane>,
) {
    let mut generation = ids::DivisionGeneration::default();
    let mut confirmed_at = runtime::Moment::now();
    let mut is_expired = false;
    loop {
        let call_started = runtime::Moment::now();
        let req = group::Join::new(vm.clone(), balance::LEASE_DURATION, generation);
        let delay = match store.join(&req).await {
            Ok(membership) => {
                let leases = u32::try_from(membership.held.len()).unwrap_or(u32::MAX);
                let assignment = direct::Assignment {
                    leases,
                    call_started,
                };
                control.send(direct::Event::Assigned(assignment)).await;
                confirmed_at = call_started;
                if std::mem::take(&mut is_expired) {
                    log::info!(target: "share", leases = leases; "leases confirmed again");
                }
                let has_changed = membership.generation != generation;
                generation = membership.generation;
                if has_changed {
                    ACKNOWLEDGE_DELAY
                } else {
                    INTERVAL
                }
            }
            Err(err) => {
                let age = runtime::Moment::now().saturating_since(confirmed_at);
                if !is_expired && age >= balance::LEASE_DURATION {
                    is_expired = true;
                    log::warn!(target: "share", error:% = err, age_ms:% = age.as_millis();
                        "leases expired, cold endpoints get fewer requests");
                }
                INTERVAL
            }
        };
        Timer::after(delay).await;
    }
}
