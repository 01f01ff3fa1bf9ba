//! Ratings of answers: immediately for cascades, and of samples in the background.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::channel::{self, Receiver, Sender};

use crate::estimate;
use crate::ids;
use crate::platform_clients;
use crate::units;

/// Fraction of answers that are rated where the estimate rests on enough ratings.
const SAMPLE_FRACTION: f64 = 0.05;
/// Maximum number of answers queued for a rating; further ones stay unrated.
const QUEUE_CAPACITY_SAMPLES: usize = 256;
/// Maximum duration of one rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer, or the failure of a version, to be rated.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Profile that the request named.
    pub profile: ids::ProfileName,
    /// Version that answered or failed.
    pub version: ids::VersionName,
    /// Class that the estimates are kept by.
    pub class: estimate::RequestClass,
    /// Messages of the request, as JSON text.
    pub messages: Arc<str>,
    /// Text of the answer; `None` if the version failed.
    pub answer: Option<Arc<str>>,
}

/// Which answers are rated in the background.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sampling {
    /// All answers, because a decision depends on the ratings: the version is in a
    /// rollout, or has few ratings in the class. The queue limits the load on the service.
    All,
    /// A random fraction of the answers.
    Fraction,
}

/// Rates answers and collects the ratings for the `evidence` stream.
#[derive(Debug)]
pub struct Ratings {
    client: Option<platform_clients::RatingClient>,
    collector: Mutex<estimate::Collector>,
    queue_tx: Sender<Sample>,
    queue_rx: Receiver<Sample>,
}

impl Ratings {
    /// Creates an empty collection. Without a client, only failures of versions count.
    #[must_use]
    pub fn new(
        client: Option<platform_clients::RatingClient>,
        collector: estimate::Collector,
    ) -> Self {
        let (queue_tx, queue_rx) = channel::bounded(QUEUE_CAPACITY_SAMPLES);
        Self {
            client,
            collector: Mutex::new(collector),
            queue_tx,
            queue_rx,
        }
    }

    /// Rates a sample immediately and collects the rating. Returns `None` if there is no
    /// rating service or no answer to rate, or if the service fails or is too slow.
    pub async fn rate(&self, sample: &Sample, deadline: Instant) -> Option<units::Quality> {
        let (client, answer) = (self.client.as_ref()?, sample.answer.as_ref()?);
        let request = platform_clients::RateRequest {
            profile: &sample.profile,
            version: &sample.version,
            class: sample.class,
            messages: serde_json::from_str(&sample.messages).unwrap_or_default(),
            answer,
        };
        let timeout = deadline
            .saturating_duration_since(Instant::now())
            .min(RATING_TIMEOUT);
        match client.rate(&request, timeout).await {
            Ok(quality) => {
                self.record(sample, quality);
                Some(quality)
            }
            Err(err) => {
                log::warn!(
                    "route: answer of version {} not rated: {err}.",
                    sample.version
                );
                None
            }
        }
    }

    /// Queues an answer for a rating in the background, subject to `sampling`. A failure
    /// of the version is collected at once, as the lowest quality.
    pub fn submit(&self, sample: Sample, sampling: Sampling) {
        if sampling == Sampling::Fraction && fastrand::f64() >= SAMPLE_FRACTION {
            return;
        }
        if sample.answer.is_none() {
            self.record(&sample, units::Quality::clamped(0.0));
        } else if self.client.is_some() && self.queue_tx.try_send(sample).is_err() {
            log::debug!("route: rating queue full; an answer is not rated.");
        }
    }

    /// Rates queued samples one after the other; never returns.
    pub async fn run(self: Arc<Self>) {
        while let Ok(sample) = self.queue_rx.recv().await {
            self.rate(&sample, Instant::now() + RATING_TIMEOUT).await;
        }
    }

    /// Takes the next evidence record, with the answers used up by each rollout; `None`
    /// if there is nothing new.
    pub fn take(&self, spent: Vec<(Arc<str>, u64)>) -> Option<estimate::Evidence> {
        self.collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(spent)
    }

    fn record(&self, sample: &Sample, quality: units::Quality) {
        self.collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .add(sample.version.clone(), sample.class, quality);
    }
}
