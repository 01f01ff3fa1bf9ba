//! Cascades: answers that are rated before they are returned.

use std::sync::Arc;
use std::time::Instant;

use crate::entry::{cx, generation, ratings};
use crate::errors;
use crate::ids;
use crate::route;
use crate::units;

/// A complete answer of one version.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Version that generated the answer.
    pub version: ids::VersionName,
    /// VM of the endpoint that ran the last attempt.
    pub vm: ids::VmName,
    /// Complete text of the answer.
    pub text: Arc<str>,
    /// Reason why the model stopped: `stop` or `length`.
    pub finish: Arc<str>,
    /// Rating of the answer; `None` if it was not rated.
    pub quality: Option<units::Quality>,
}

/// Returns the complete answer. If the profile verifies answers, one rated below the
/// quality target is retried on the next version in order of cost, and the best is kept.
pub async fn answer(
    cx: &cx::Shared,
    generation: &mut generation::Generation,
) -> Result<Candidate, errors::Refusal> {
    let mut attempt_started = Instant::now();
    let mut best = read_answer(generation).await?;
    // A session keeps its version, so its answers are rated only as samples.
    if !generation.request().profile.profile.verify || generation.request().pin.is_some() {
        submit_sample(cx, generation, Some(Arc::clone(&best.text)));
        return Ok(best);
    }
    let target = generation.request().profile.profile.quality_target;
    let mut tried = vec![best.version.clone()];
    rate_candidate(cx, generation, &mut best).await;
    while best.quality.is_some_and(|quality| quality < target) {
        let Some(version) = next_version(cx, generation, &tried, attempt_started) else {
            break;
        };
        log::info!(
            "route: answer to request {} rated below {target} on {}; retrying on {version}.",
            generation.request().id,
            best.version
        );
        attempt_started = Instant::now();
        tried.push(version.clone());
        let retried = match generation.restart(version).await {
            Ok(()) => read_answer(generation).await,
            Err(refusal) => Err(refusal),
        };
        let Ok(mut candidate) = retried else { break };
        rate_candidate(cx, generation, &mut candidate).await;
        // An unrated answer of a more expensive version replaces one below the target.
        if candidate.quality.is_none() || candidate.quality > best.quality {
            best = candidate;
        }
    }
    Ok(best)
}

/// Returns the next version in order of cost. Returns `None` if there is none, or if the
/// time left does not exceed that of the last answer, since a more expensive version is
/// hardly faster.
fn next_version(
    cx: &cx::Shared,
    generation: &generation::Generation,
    tried: &[ids::VersionName],
    attempt_started: Instant,
) -> Option<ids::VersionName> {
    let request = generation.request();
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if remaining <= attempt_started.elapsed() {
        return None;
    }
    let snapshot = cx.control.snapshot();
    let profile = snapshot.profiles.get(&request.profile.name)?;
    route::next_by_cost(&snapshot, profile, tried).cloned()
}

async fn read_answer(
    generation: &mut generation::Generation,
) -> Result<Candidate, errors::Refusal> {
    loop {
        if let generation::AnswerPart::End(finish) = generation.next_part().await? {
            return Ok(Candidate {
                version: generation.version().clone(),
                vm: generation.vm().clone(),
                text: generation.text().into(),
                finish,
                quality: None,
            });
        }
    }
}

async fn rate_candidate(
    cx: &cx::Shared,
    generation: &generation::Generation,
    candidate: &mut Candidate,
) {
    let sample = sample(generation, Some(Arc::clone(&candidate.text)));
    candidate.quality = cx
        .ratings
        .rate(&sample, generation.request().deadline)
        .await;
}

/// Submits an answer as a sample for the estimates; `None` is a failure of the version.
pub fn submit_sample(
    cx: &cx::Shared,
    generation: &generation::Generation,
    answer: Option<Arc<str>>,
) {
    let snapshot = cx.control.snapshot();
    let version = generation.version();
    let in_rollout = snapshot
        .profiles
        .get(&generation.request().profile.name)
        .is_some_and(|profile| {
            let mut rollouts = profile.rollouts.iter();
            rollouts.any(|rollout| rollout.version.name == *version)
        });
    let class = generation.request().class;
    let sampling = if in_rollout || snapshot.estimates.is_sparse(version, class) {
        ratings::Sampling::All
    } else {
        ratings::Sampling::Fraction
    };
    cx.ratings.submit(sample(generation, answer), sampling);
}

fn sample(generation: &generation::Generation, answer: Option<Arc<str>>) -> ratings::Sample {
    let request = generation.request();
    ratings::Sample {
        profile: request.profile.name.clone(),
        version: generation.version().clone(),
        class: request.class,
        messages: Arc::clone(&request.chat.messages),
        answer,
    }
}
