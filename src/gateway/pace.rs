//! Log lines and counters of the pace of endpoints.

use crate::balance;
use crate::direct;
use crate::observe;

/// Reports the last change of an endpoint's pace, if there is one that was not reported.
pub fn report(endpoint: &direct::EndpointView) {
    let Some(change) = endpoint.live.take_pace_change() else {
        return;
    };
    let balance::Change {
        from,
        to,
        cause,
        limit,
        usual,
        wait,
        strikes,
        bounds,
    } = change;
    log::info!(target: "endpoint", endpoint:% = endpoint.record.id, from:% = from, to:% = to,
        cause:% = cause, limit = limit.map(balance::Limit::get),
        usual_ms = usual.map(|usual| usual.as_millis()), wait_ms = wait.map(|wait| wait.as_millis()),
        strikes = strikes, slots = bounds.slots, share = bounds.share.get();
        "endpoint pace changed");
    observe::metrics().record_endpoint_pace(to.into(), cause.into());
}
