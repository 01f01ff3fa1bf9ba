//! Summarizes the answers to a load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::bench;
use crate::bench::open_loop;

/// Counts and latencies of the answers to a load.
#[derive(Debug, Default, serde::Serialize)]
pub struct LoadReport {
    /// Name of the deployment and its traffic.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Scheduled requests per second.
    pub rate: f64,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Complete answers within their deadline.
    pub in_time: u64,
    /// Answers that broke off or never began.
    pub broken: u64,
    /// Refused requests by HTTP status.
    pub refused: BTreeMap<u16, u64>,
    /// Complete answers by model version.
    pub versions: BTreeMap<String, u64>,
    /// Time to the first token of streamed answers.
    pub first_token: bench::Quantiles,
    /// Time between the tokens of streamed answers.
    pub between_tokens: bench::Quantiles,
    /// Time to the end of complete answers.
    pub whole_answer: bench::Quantiles,
}

/// Summarizes the answers to a load; errs where no histogram can be created.
pub fn summarize(
    mix: &bench::Mix,
    options: open_loop::LoadOptions,
    samples: &[open_loop::Sample],
) -> Result<LoadReport, bench::BenchError> {
    let mut collector = Collector::new(LoadReport {
        mix: mix.name.clone(),
        seed: options.seed,
        rate: options.rate,
        ..LoadReport::default()
    })?;
    for sample in samples {
        let deadline = mix.requests[sample.kind].deadline_ms.duration();
        collector.add(&sample.answer, deadline);
    }
    Ok(collector.finish())
}

/// Collects counts and latencies for a report.
#[derive(Debug)]
pub struct Collector {
    report: LoadReport,
    first_token: bench::Latency,
    between_tokens: bench::Latency,
    total: bench::Latency,
}

impl Collector {
    /// Creates a collector that adds to this report.
    pub fn new(report: LoadReport) -> Result<Self, bench::BenchError> {
        Ok(Self {
            report,
            first_token: bench::Latency::new()?,
            between_tokens: bench::Latency::new()?,
            total: bench::Latency::new()?,
        })
    }

    /// Adds the answer to one request, which was in time if it ended within `deadline`.
    pub fn add(&mut self, answer: &bench::TimedAnswer, deadline: Duration) {
        self.report.sent += 1;
        match answer.outcome {
            bench::Outcome::Complete => self.add_complete(answer, deadline),
            bench::Outcome::Refused(status) => {
                *self.report.refused.entry(status).or_default() += 1;
            }
            bench::Outcome::Broken => self.report.broken += 1,
        }
    }

    fn add_complete(&mut self, answer: &bench::TimedAnswer, deadline: Duration) {
        self.report.whole += 1;
        self.report.in_time += u64::from(answer.total <= deadline);
        self.total.record(answer.total);
        if let Some(version) = &answer.version {
            *self.report.versions.entry(version.clone()).or_default() += 1;
        }
        if answer.streamed {
            self.first_token.record(answer.first_token);
        }
        for gap in &answer.token_gaps {
            self.between_tokens.record(*gap);
        }
    }

    /// Returns the report with the quantiles of all collected latencies.
    #[must_use]
    pub fn finish(mut self) -> LoadReport {
        self.report.first_token = self.first_token.quantiles();
        self.report.between_tokens = self.between_tokens.quantiles();
        self.report.whole_answer = self.total.quantiles();
        self.report
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, seed {}, {} req/s", self.mix, self.seed, self.rate)?;
        writeln!(
            f,
            "sent {}, whole {}, in time {}, broken {}",
            self.sent, self.whole, self.in_time, self.broken
        )?;
        for (status, count) in &self.refused {
            writeln!(f, "refused with {status}: {count}")?;
        }
        for (version, count) in &self.versions {
            writeln!(f, "answered by {version}: {count}")?;
        }
        writeln!(f, "{:16} {:>10} {:>10} {:>10}", "ms", "p50", "p95", "p99")?;
        row(f, "first token", &self.first_token)?;
        row(f, "between tokens", &self.between_tokens)?;
        row(f, "whole answer", &self.whole_answer)
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, quantiles: &bench::Quantiles) -> fmt::Result {
    let ms = |us: f64| us / 1_000.0;
    writeln!(
        f,
        "{name:16} {:10.2} {:10.2} {:10.2}",
        ms(quantiles.p50_us),
        ms(quantiles.p95_us),
        ms(quantiles.p99_us)
    )
}
