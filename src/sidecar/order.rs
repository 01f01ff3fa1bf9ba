//! Orders to the engine.

use crate::admission;
use crate::errors;
use crate::fleet;
use crate::ids;
use crate::settings;
use crate::sidecar::cx;

/// Checks an order and forwards it to the engine.
pub async fn carry_out(
    cx: &cx::Shared,
    fence: ids::Fence,
    action: &fleet::OrderAction,
) -> Result<(), errors::Refusal> {
    let result = forward(cx, fence, action).await;
    match &result {
        Ok(()) => log::info!("placement: order {action} with fence {fence} carried out."),
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
    // The holder before may have been paused between its check and its order,
    // and its successor may have had no order for this endpoint yet.
    if let Some(fence) = cx.control.snapshot().fence {
        fences.saw(fence);
    }
    let report = cx.report();
    fences
        .check(fence, action, &report.versions, report.running)
        .map_err(refusal)?;
    cx.engine.order(fence, action).await?;
    if let Ok(status) = cx.engine.status().await {
        cx.set_status(Some(status));
    }
    Ok(())
}

fn refusal(refusal: admission::OrderRefusal) -> errors::Refusal {
    match refusal {
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
