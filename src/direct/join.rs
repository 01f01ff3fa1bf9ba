//! Task that keeps this entry a member of the group of entries, among which the store
//! divides the limits that apply to all of them.

use std::time::Duration;

use smol::Timer;

use crate::balance;
use crate::control;
use crate::direct;
use crate::ids;
use crate::peers;
use crate::platform;
use crate::platform::group;
use crate::runtime;

/// Time between two calls. One of them may fail before the leases expire.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time to the next call after the division has changed. Leases that this entry has lost
/// are assigned to others only once it calls again.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(200);

/// Joins the group as `member` and stays in it until the process exits. The store divides
/// `leases`. Lists the other members when the group may be large enough for shared reads.
pub async fn join(
    store: platform::StoreClient,
    member: peers::Member,
    leases: u32,
    control: control::Control<direct::Plane>,
) {
    let mut generation = ids::DivisionGeneration::default();
    let mut era = ids::StoreEra::default();
    let mut confirmed_at = runtime::Moment::now();
    let mut is_expired = false;
    let mut listing = peers::ListingPlan::default();
    loop {
        let call_started = runtime::Moment::now();
        // A generation of an earlier era would acknowledge divisions that are still to come.
        if store.latest_era().is_some_and(|latest| latest > era) {
            generation = ids::DivisionGeneration::default();
        }
        let req = group::Join::new(member.clone(), balance::LEASE_DURATION, generation);
        let delay = match store.join(&req).await {
            Ok(membership) => {
                let held = u32::try_from(membership.held.len()).unwrap_or(u32::MAX);
                let assignment = direct::Assignment {
                    leases: membership.leases(leases),
                    call_started,
                };
                control.send(direct::Event::Assigned(assignment)).await;
                confirmed_at = call_started;
                if std::mem::take(&mut is_expired) {
                    log::info!(target: "share", leases = held; "leases confirmed again");
                }
                let has_changed = membership.generation != generation;
                generation = membership.generation;
                era = membership.era;
                if member.place.is_some() && listing.record(generation, held, leases, call_started)
                {
                    if list_members(&store, &control).await {
                        listing.record_listing(call_started);
                    } else {
                        listing.record_failure(call_started);
                    }
                }
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
                        "leases expired, endpoints with a rate over all entries get fewer requests");
                }
                INTERVAL
            }
        };
        Timer::after(delay).await;
    }
}

/// Lists the members of the group; returns whether the store answered.
async fn list_members(
    store: &platform::StoreClient,
    control: &control::Control<direct::Plane>,
) -> bool {
    match store.members().await {
        Ok(members) => {
            control.send(direct::Event::MembersListed(members)).await;
            true
        }
        Err(err) => {
            log::info!(target: "peers", error:% = err; "entries could not be listed");
            false
        }
    }
}
