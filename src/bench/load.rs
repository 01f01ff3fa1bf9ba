//! Runs open-loop load on a deployment.

use crate::bench;
use crate::bench::open_loop;
use crate::bench::report;
use crate::runtime;

/// Runs the load on newly started processes and reports on its answers.
pub async fn run(
    mix: &bench::Mix,
    options: open_loop::LoadOptions,
    traffic: &runtime::Traffic,
) -> Result<bench::LoadReport, bench::BenchError> {
    let deployment = bench::Deployment::spawn(mix, traffic).await?;
    let samples = open_loop::run(&deployment, mix, bench::Policy::System, options, traffic).await?;
    report::summarize(mix, options, &samples)
}
