//! Commands that print progress until a rollout or a failure domain has reached its target state.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::{Value, json};
use smol::Timer;

use crate::catalog;
use crate::cli;
use crate::cli::show;
use crate::ids;

/// Interval between reads of the status; endpoints report once a second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the progress of a rollout until it is complete. Fails where it does
/// not exist or has stopped.
pub async fn rollout(cx: &cli::Context, name: &ids::ProfileName) -> Result<(), cli::Failure> {
    let mut last = Value::Null;
    loop {
        let status = cx.client.read("status").await?;
        let row = find(&status["rollouts"], "name", name.as_str());
        if row.is_null() {
            let reason = format!("no roll-out {name}; it does not exist or was stopped");
            return Err(cli::Failure::Other(reason.into()));
        }
        if row != last {
            let text = format!(
                "{name}: {}, share {}",
                row["state"].as_str().unwrap_or("-"),
                row["share"]
            );
            cx.print_line(&row, &text);
        }
        match row["state"].as_str() {
            Some("complete") => return Ok(()),
            Some("stopped") => {
                return Err(cli::Failure::Other("the roll-out has stopped".into()));
            }
            _ => {}
        }
        last = row;
        Timer::after(POLL_INTERVAL).await;
    }
}

fn find(list: &Value, member: &str, text: &str) -> Value {
    let mut items = list.as_array().into_iter().flatten();
    items
        .find(|item| item[member] == text)
        .cloned()
        .unwrap_or_default()
}

/// Number of consecutive reads without load after which an endpoint counts as
/// idle: 10 s. An endpoint warms up only by requests, so an idle one never does.
const IDLE_READS: u32 = 20;

/// Progress of a failure domain towards its target state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Progress {
    endpoints: usize,
    applied: usize,
    running: u64,
    warm: usize,
    /// Endpoints that accept work but are neither warm nor receive any.
    idle: usize,
}

impl Progress {
    fn of(status: &Value, domain: &ids::ProfileName, offset: u64, idle: &mut IdleTracker) -> Self {
        let all = status["endpoints"].as_array().into_iter().flatten();
        let rows: Vec<&Value> = all.filter(|row| row["domain"] == domain.as_str()).collect();
        let count = |keep: &dyn Fn(&Value) -> bool| rows.iter().filter(|row| keep(row)).count();
        let is_warm = |row: &Value| row["warmth"] == "warm";
        let mut is_idle = |row: &Value| idle.is_idle(row) && !is_warm(row);
        let idle = rows.iter().filter(|row| is_idle(row)).count();
        Self {
            endpoints: rows.len(),
            applied: count(&|row| {
                row["config"]
                    .as_u64()
                    .is_some_and(|config| config >= offset)
            }),
            running: rows.iter().map(|row| load(row)).sum(),
            warm: count(&|row| row["accepting"] == true && is_warm(row)),
            idle,
        }
    }

    const fn is_complete(self, out: bool) -> bool {
        let state = if out {
            self.running == 0
        } else {
            self.warm + self.idle == self.endpoints
        };
        self.applied == self.endpoints && state
    }
}

/// Returns the number of running and queued requests of an endpoint.
fn load(row: &Value) -> u64 {
    row["running"].as_u64().unwrap_or(0) + row["queued"].as_u64().unwrap_or(0)
}

/// Number of consecutive reads at which an endpoint accepted work and had none, by VM.
#[derive(Debug, Default)]
struct IdleTracker(HashMap<String, u32>);

impl IdleTracker {
    fn is_idle(&mut self, row: &Value) -> bool {
        let vm = row["vm"].as_str().unwrap_or_default().to_owned();
        let idle_reads = self.0.entry(vm).or_default();
        *idle_reads = if row["accepting"] == true && load(row) == 0 {
            *idle_reads + 1
        } else {
            0
        };
        *idle_reads >= IDLE_READS
    }
}

/// Prints the progress of a failure domain until it is drained, where it is out
/// of service, or until all its endpoints are warm or idle. Fails where no
/// endpoint of the domain is known.
pub async fn domain(cx: &cli::Context, name: &ids::ProfileName) -> Result<(), cli::Failure> {
    let id = catalog::ObjectId::new(catalog::ObjectKind::Domains, name.as_str());
    let mut last = None;
    let mut idle = IdleTracker::default();
    loop {
        let (revision, object) = show::require_object(cx, &id).await?;
        let out = object["out"] == true;
        let status = cx.client.read("status").await?;
        let progress = Progress::of(&status, name, revision.0.saturating_sub(1), &mut idle);
        if progress.endpoints == 0 {
            return Err(cli::Failure::Other(
                format!("no endpoint is known in failure domain {name}").into(),
            ));
        }
        let complete = progress.is_complete(out);
        if last != Some((out, progress)) {
            print_progress(cx, name, out, progress, complete);
        }
        if complete {
            return Ok(());
        }
        last = Some((out, progress));
        Timer::after(POLL_INTERVAL).await;
    }
}

fn print_progress(
    cx: &cli::Context,
    name: &ids::ProfileName,
    out: bool,
    progress: Progress,
    complete: bool,
) {
    let state = if out { "out" } else { "in" };
    let value = json!({
        "domain": name, "state": state, "complete": complete, "endpoints": progress.endpoints,
        "applied": progress.applied, "running": progress.running, "warm": progress.warm,
        "idle": progress.idle,
    });
    let text = format!(
        "{name} {state}: in force on {} of {} endpoints, {} requests running, {} warm, {} idle",
        progress.applied, progress.endpoints, progress.running, progress.warm, progress.idle
    );
    cx.print_line(&value, &text);
}
