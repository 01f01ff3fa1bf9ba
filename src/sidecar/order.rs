//! Checks orders of the lease holder and forwards them to the engine.

use crate::admission;
use crate::errors;
use crate::fleet;
use crate::ids;
use crate::settings;
use crate::sidecar::cx;

/// Checks an order, forwards it to the engine, and logs the outcome. Returns
/// once the engine has accepted the order; it may still be loading then.
pub async fn execute(
    cx: &cx::Shared,
    fence: ids::Fence,
    action: &fleet::OrderAction,
) -> Result<(), errors::Refusal> {
    let result = forward(cx, fence, action).await;
    match &result {
        Ok(()) => log::info!("placement: engine accepted order {action} with fence {fence}."),
        Err(refusal) => {
            log::warn!("placement: order {action} with fence {fence} refused: {refusal}.");
        }
    }
    result
}

async fn forward(
    cx: &cx::Shared,
    fence: ids::Fence,
    action: &fleet::OrderAction,
) -> Result<(), errors::Refusal> {
    if let settings::EndpointSettings::Service { .. } = cx.cfg.endpoint {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotAllowed,
            "a plain service takes no orders",
        ));
    }
    let mut fences = cx.fences.lock().await;
    // A previous lease holder may have been paused between its check and this
    // order, while its successor has sent no order to this endpoint yet. So the
    // fencing number from the log counts as well.
    if let Some(fence) = cx.control.snapshot().fence {
        fences.observe(fence);
    }
    let report = cx.report();
    fences
        .check(fence, action, &report.versions, report.running)
        .map_err(to_refusal)?;
    cx.engine.order(fence, action).await?;
    if let Ok(status) = cx.engine.status().await {
        cx.set_status(Some(status));
    }
    Ok(())
}

fn to_refusal(reason: admission::OrderRefusal) -> errors::Refusal {
    match reason {
        admission::OrderRefusal::Stale { highest } => errors::Refusal::new(
            errors::ResultCode::StaleFence,
            format!("fence {highest} has been seen"),
        ),
        admission::OrderRefusal::InUse => errors::Refusal::new(
            errors::ResultCode::Overloaded,
            "the last version is running requests",
        ),
    }
}
