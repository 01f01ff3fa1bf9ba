//! Ratings of answers: on request, and of a sample in the background.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::channel::{self, Receiver, Sender};

use crate::estimate;
use crate::ids;
use crate::services;
use crate::units;

/// Share of answers that are rated where the estimate is settled.
const SAMPLE_SHARE: f64 = 0.05;
/// Answers that wait for a rating; more are left unrated.
const QUEUE: usize = 256;
/// Time for one rating.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An answer to be rated.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The profile that was asked for.
    pub profile: ids::ProfileName,
    /// The version that answered.
    pub version: ids::VersionName,
    /// Class for the estimates.
    pub class: estimate::RequestClass,
    /// The messages, as JSON.
    pub messages: Arc<str>,
    /// Text of the answer; `None` where the version failed.
    pub answer: Option<Arc<str>>,
}

/// How many answers are rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sampling {
    /// All, while a decision waits for ratings: the version is in roll-out, or
    /// has few ratings in the class. The queue bounds the load on the service.
    All,
    /// A small share.
    Share,
}

/// Rates answers and collects the ratings.
#[derive(Debug)]
pub struct Ratings {
    client: Option<services::RatingClient>,
    collector: Mutex<estimate::Collector>,
    queue: Sender<Sample>,
    queued: Receiver<Sample>,
}

impl Ratings {
    /// No rating yet; without a client nothing is rated.
    #[must_use]
    pub fn new(client: Option<services::RatingClient>, collector: estimate::Collector) -> Self {
        let (queue, queued) = channel::bounded(QUEUE);
        Self {
            client,
            collector: Mutex::new(collector),
            queue,
            queued,
        }
    }

    /// Rates a sample now; `None` where the service does not answer in time.
    pub async fn rate(&self, sample: &Sample, deadline: Instant) -> Option<units::Quality> {
        let (client, answer) = (self.client.as_ref()?, sample.answer.as_ref()?);
        let request = services::RateRequest {
            profile: &sample.profile,
            version: &sample.version,
            class: sample.class,
            messages: serde_json::from_str(&sample.messages).unwrap_or_default(),
            answer,
        };
        let timeout = deadline
            .saturating_duration_since(Instant::now())
            .min(TIMEOUT);
        match client.rate(&request, timeout).await {
            Ok(quality) => {
                self.add(sample, quality);
                Some(quality)
            }
            Err(err) => {
                log::warn!(
                    "route: an answer of {} is not rated: {err}.",
                    sample.version
                );
                None
            }
        }
    }

    /// Rates a sample of answers in the background.
    pub fn offer(&self, sample: Sample, sampling: Sampling) {
        if sampling == Sampling::Share && fastrand::f64() >= SAMPLE_SHARE {
            return;
        }
        if sample.answer.is_none() {
            self.add(&sample, units::Quality::clamped(0.0));
        } else if self.client.is_some() && self.queue.try_send(sample).is_err() {
            log::debug!("route: the queue of ratings is full.");
        }
    }

    /// Rates queued samples for good.
    pub async fn run(self: Arc<Self>) {
        while let Ok(sample) = self.queued.recv().await {
            self.rate(&sample, Instant::now() + TIMEOUT).await;
        }
    }

    /// The next evidence record.
    pub fn take(&self, spent: Vec<(Arc<str>, u64)>) -> Option<estimate::Evidence> {
        self.collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(spent)
    }

    fn add(&self, sample: &Sample, quality: units::Quality) {
        self.collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .add(sample.version.clone(), sample.class, quality);
    }
}
