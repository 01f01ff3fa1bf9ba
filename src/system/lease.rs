//! Claims, renews and releases the lease.

use crate::control;
use crate::lease;

/// Follows the lease in the ledger and requests its next record, or releases it
/// in a planned stop.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    // Without the complete ledger the lease holder is unknown.
    if !world.ledger.is_caught_up() {
        return;
    }
    let row = world.ledger.state().lease.clone();
    let holder = lease::Holder {
        vm: world.identity.vm.clone(),
        incarnation: world.identity.incarnation,
    };
    let current = std::mem::replace(
        &mut world.lease,
        lease::AnyLease::new(holder.clone(), cx.now),
    );
    world.lease = current.observe(row.as_ref(), cx.now);
    let request = if world.stopping {
        release(world, cx, holder)
    } else {
        world.lease.request(row.as_ref(), cx.now)
    };
    if let Some(request) = request {
        cx.append(world.ledger.next_offset(), &request.entry);
    }
}

fn release(
    world: &mut control::World,
    cx: &control::TickCx,
    holder: lease::Holder,
) -> Option<lease::Request> {
    let lease::AnyLease::Held(held) = &world.lease else {
        return None;
    };
    log::info!("lease: released fence {}.", held.fence());
    let request = held.release(cx.now);
    world.lease = lease::AnyLease::new(holder, cx.now);
    Some(request)
}
