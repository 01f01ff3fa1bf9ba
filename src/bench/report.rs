//! Results of a load run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::bench;
use crate::bench::drive;

/// Results of a load run.
#[derive(Debug, Default, serde::Serialize)]
pub struct Report {
    /// The deployment.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests a second that were due.
    pub rate: f64,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within their deadline.
    pub in_time: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Refusals by HTTP status.
    pub refused: BTreeMap<u16, u64>,
    /// Whole answers by version.
    pub versions: BTreeMap<String, u64>,
    /// Time to the first token of streamed answers.
    pub first_token: bench::Quantiles,
    /// Time between tokens of streamed answers.
    pub between_tokens: bench::Quantiles,
    /// Time to the end of whole answers.
    pub whole_answer: bench::Quantiles,
}

/// The report on these samples.
pub fn of(
    mix: &bench::Mix,
    bounds: drive::Bounds,
    samples: &[drive::Sample],
) -> Result<Report, bench::BenchError> {
    let mut collector = Collector::new(Report {
        mix: mix.name.clone(),
        seed: bounds.seed,
        rate: bounds.rate,
        ..Report::default()
    })?;
    for sample in samples {
        let deadline = mix.requests[sample.kind].deadline_ms.duration();
        collector.add(&sample.answered, deadline);
    }
    Ok(collector.finish())
}

/// Distributions that a run collects.
#[derive(Debug)]
pub struct Collector {
    report: Report,
    first: bench::Latency,
    between: bench::Latency,
    whole: bench::Latency,
}

impl Collector {
    /// Collects into this report.
    pub fn new(report: Report) -> Result<Self, bench::BenchError> {
        Ok(Self {
            report,
            first: bench::Latency::new()?,
            between: bench::Latency::new()?,
            whole: bench::Latency::new()?,
        })
    }

    /// Adds an answer with its deadline.
    pub fn add(&mut self, answered: &bench::Answered, deadline: Duration) {
        self.report.sent += 1;
        match answered.outcome {
            bench::Outcome::Whole => self.add_whole(answered, deadline),
            bench::Outcome::Refused(status) => {
                *self.report.refused.entry(status).or_default() += 1;
            }
            bench::Outcome::Broken => self.report.broken += 1,
        }
    }

    fn add_whole(&mut self, answered: &bench::Answered, deadline: Duration) {
        self.report.whole += 1;
        self.report.in_time += u64::from(answered.whole <= deadline);
        self.whole.record(answered.whole);
        if let Some(version) = &answered.version {
            *self.report.versions.entry(version.clone()).or_default() += 1;
        }
        if answered.streamed {
            self.first.record(answered.first);
        }
        for between in &answered.between {
            self.between.record(*between);
        }
    }

    /// The finished report.
    #[must_use]
    pub fn finish(mut self) -> Report {
        self.report.first_token = self.first.quantiles();
        self.report.between_tokens = self.between.quantiles();
        self.report.whole_answer = self.whole.quantiles();
        self.report
    }
}

impl fmt::Display for Report {
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
