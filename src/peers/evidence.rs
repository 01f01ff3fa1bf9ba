//! Exchange of the results of rollouts for several entries at once.
//!
//! Load pattern: dozens of entries that share their results twice a second while traffic
//! moves to a new version. A reader lists and appends once for all that ask at the same time.

use std::time::Duration;

use smol::Timer;
use smol::channel::{self, Receiver, Sender};

use crate::direct;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Minimum time between the begins of two rounds. It delays the results of entries of other
/// readers; those of the same round need no further exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Age beyond which results are not appended. The entry gives up later than this, by the time
/// that an append takes, and shares them itself, maybe newer ones.
const MAX_AGE: Duration = Duration::from_millis(250);
/// Maximum number of entries that wait for a round.
const MAX_WAITING: usize = 512;

/// A request of an entry for the results of the others.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EvidenceRequest {
    /// VM of the entry.
    pub vm: ids::VmName,
    /// Results of the entry; `None` if they are shared already.
    pub own: Option<direct::SharedEvidence>,
}

/// An [`EvidenceRequest`] that waits for a round.
#[derive(Debug)]
pub struct Waiting {
    req: EvidenceRequest,
    arrived: runtime::Moment,
    answer: Sender<Vec<direct::SharedEvidence>>,
}

/// Handle to the rounds of this entry; clones share them.
#[derive(Clone, Debug)]
pub struct EvidenceRounds(Sender<Waiting>);

impl EvidenceRounds {
    /// Creates the handle, and the queue that [`run_rounds`] serves.
    #[must_use]
    pub fn new() -> (Self, Receiver<Waiting>) {
        let (tx, rx) = channel::bounded(MAX_WAITING);
        (Self(tx), rx)
    }

    /// Takes part in the next round and returns the results of all entries; `None` if the
    /// store did not answer, or did not accept the results.
    pub async fn exchange(&self, req: EvidenceRequest) -> Option<Vec<direct::SharedEvidence>> {
        let (answer, answered) = channel::bounded(1);
        let waiting = Waiting {
            req,
            arrived: runtime::Moment::now(),
            answer,
        };
        self.0.try_send(waiting).ok()?;
        answered.recv().await.ok()
    }
}

/// Serves the requests in rounds until all handles are dropped.
pub async fn run_rounds(store: platform::StoreClient, queue: Receiver<Waiting>) {
    let mut began = runtime::Moment::default();
    while let Ok(first) = queue.recv().await {
        let since = runtime::Moment::now().saturating_since(began);
        Timer::after(ROUND_INTERVAL.saturating_sub(since)).await;
        began = runtime::Moment::now();
        let mut round = vec![first];
        round.extend(std::iter::from_fn(|| queue.try_recv().ok()));
        serve(&store, round).await;
    }
}

/// Lists before it appends: an earlier process of an entry may have shared results, which
/// the new ones replace. Requests without an answer are served by their entries, as are those
/// whose results cannot be encoded.
async fn serve(store: &platform::StoreClient, mut round: Vec<Waiting>) {
    let listed = match direct::newest_evidence(store).await {
        Ok(listed) => listed,
        Err(err) => {
            log::info!(target: "rollout", error:% = err; "rollout results could not be read for other entries");
            return;
        }
    };
    let now = runtime::Moment::now();
    let mut records = Vec::new();
    round.retain(|waiting| {
        if now.saturating_since(waiting.arrived) > MAX_AGE {
            return false;
        }
        let Some(own) = &waiting.req.own else {
            return true;
        };
        let record = platform::evidence_record::encode(own).ok().flatten();
        let is_encoded = record.is_some();
        records.extend(record);
        is_encoded
    });
    let shared: Vec<_> = round
        .iter()
        .filter_map(|waiting| waiting.req.own.as_ref())
        .collect();
    if !records.is_empty()
        && let Err(err) = store
            .append(platform::evidence_record::TOPIC, None, &records)
            .await
    {
        log::info!(target: "rollout", entries = records.len(), error:% = err;
            "rollout results were not shared for other entries");
        return;
    }
    for waiting in &round {
        // The entry may have left.
        let _ = waiting
            .answer
            .try_send(overlay(&listed, &shared, &waiting.req.vm));
    }
}

/// Returns the listed results with those that other entries than `vm` share in this round.
#[must_use]
pub fn overlay(
    listed: &[direct::SharedEvidence],
    shared: &[&direct::SharedEvidence],
    vm: &ids::VmName,
) -> Vec<direct::SharedEvidence> {
    let is_replaced = |old: &direct::SharedEvidence| {
        old.vm != *vm
            && shared
                .iter()
                .any(|new| (&new.vm, &new.service) == (&old.vm, &old.service))
    };
    let kept = listed.iter().filter(|old| !is_replaced(old));
    let new = shared.iter().copied().filter(|new| new.vm != *vm);
    kept.chain(new).cloned().collect()
}
