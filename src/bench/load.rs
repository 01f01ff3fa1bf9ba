//! Open-loop load on a deployment.

use crate::bench;
use crate::bench::drive;
use crate::bench::report;
use crate::runtime;

/// Runs the load on new processes.
pub async fn run(
    mix: &bench::Mix,
    bounds: drive::Bounds,
    traffic: &runtime::Traffic,
) -> Result<bench::Report, bench::BenchError> {
    let children = bench::Children::spawn(mix, traffic).await?;
    let samples = drive::drive(&children, mix, bench::Policy::System, bounds, traffic).await?;
    report::of(mix, bounds, &samples)
}
