//! Answers that are rated before they are returned.

use std::sync::Arc;
use std::time::Instant;

use crate::entry::{cx, generation, ratings};
use crate::errors;
use crate::ids;
use crate::route;
use crate::units;

/// A whole answer of one version.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The version.
    pub version: ids::VersionName,
    /// The VM of the endpoint.
    pub vm: ids::VmName,
    /// The text.
    pub text: Arc<str>,
    /// Why the model stopped.
    pub finish: Arc<str>,
    /// The rating, where there is one.
    pub quality: Option<units::Quality>,
}

/// The whole answer. Where the profile asks for it, an answer below the target
/// is given again by the next version in order of cost, and the best is kept.
pub async fn answer(
    cx: &cx::Shared,
    generation: &mut generation::Generation,
) -> Result<Candidate, errors::Refusal> {
    let mut started = Instant::now();
    let mut best = read(generation).await?;
    // A session keeps its version, so its answers are only sampled.
    if !generation.ask().profile.profile.verify || generation.ask().pin.is_some() {
        offer(cx, generation, Some(Arc::clone(&best.text)));
        return Ok(best);
    }
    let target = generation.ask().profile.profile.quality_target;
    let mut tried = vec![best.version.clone()];
    rate(cx, generation, &mut best).await;
    while best.quality.is_some_and(|quality| quality < target) {
        let Some(version) = next(cx, generation, &tried, started) else {
            break;
        };
        log::info!(
            "route: request {} rated below {target} on {}, runs again on {version}.",
            generation.ask().id,
            best.version
        );
        started = Instant::now();
        tried.push(version.clone());
        let again = match generation.restart(version).await {
            Ok(()) => read(generation).await,
            Err(refusal) => Err(refusal),
        };
        let Ok(mut candidate) = again else { break };
        rate(cx, generation, &mut candidate).await;
        // An unrated answer of a better version replaces one below the target.
        if candidate.quality.is_none() || candidate.quality > best.quality {
            best = candidate;
        }
    }
    Ok(best)
}

/// The next version, where the time left is more than the last answer took: a
/// more expensive version is hardly faster.
fn next(
    cx: &cx::Shared,
    generation: &generation::Generation,
    tried: &[ids::VersionName],
    started: Instant,
) -> Option<ids::VersionName> {
    let ask = generation.ask();
    let left = ask.deadline.saturating_duration_since(Instant::now());
    if left <= started.elapsed() {
        return None;
    }
    let snapshot = cx.control.snapshot();
    let profile = snapshot.profiles.get(&ask.profile.name)?;
    route::next_by_cost(&snapshot, profile, tried).cloned()
}

async fn read(generation: &mut generation::Generation) -> Result<Candidate, errors::Refusal> {
    loop {
        if let generation::Step::End(finish) = generation.next().await? {
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

async fn rate(cx: &cx::Shared, generation: &generation::Generation, candidate: &mut Candidate) {
    let sample = sample(generation, Some(Arc::clone(&candidate.text)));
    candidate.quality = cx.ratings.rate(&sample, generation.ask().deadline).await;
}

/// Offers an answer, or the failure of a version, for the estimates.
pub fn offer(cx: &cx::Shared, generation: &generation::Generation, answer: Option<Arc<str>>) {
    let snapshot = cx.control.snapshot();
    let version = generation.version();
    let in_rollout = snapshot
        .profiles
        .get(&generation.ask().profile.name)
        .is_some_and(|profile| {
            let mut rollouts = profile.rollouts.iter();
            rollouts.any(|rollout| rollout.version.name == *version)
        });
    let class = generation.ask().class;
    let sampling = if in_rollout || snapshot.estimates.is_sparse(version, class) {
        ratings::Sampling::All
    } else {
        ratings::Sampling::Share
    };
    cx.ratings.offer(sample(generation, answer), sampling);
}

fn sample(generation: &generation::Generation, answer: Option<Arc<str>>) -> ratings::Sample {
    let ask = generation.ask();
    ratings::Sample {
        profile: ask.profile.name.clone(),
        version: generation.version().clone(),
        class: ask.class,
        messages: Arc::clone(&ask.chat.messages),
        answer,
    }
}
