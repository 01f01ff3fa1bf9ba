//! Task that exchanges the results of rollouts with the other entries.

use std::time::Duration;

use smol::channel::Receiver;

use crate::control;
use crate::direct;
use crate::direct::feed;
use crate::http;
use crate::ids;
use crate::observe;
use crate::peers;
use crate::platform;
use crate::runtime;

type Control = control::Control<direct::Plane>;

/// Maximum time of an exchange through another entry. The shortest interval between
/// exchanges is 500 ms, and an exchange of its own must still fit into it.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(400);

/// What the task needs to exchange results through other entries, or for them.
#[derive(Clone, Debug)]
pub struct SharedExchange {
    /// VM of this entry.
    pub vm: ids::VmName,
    /// Rounds of this entry.
    pub rounds: peers::EvidenceRounds,
    /// Runs the connections to the followed entry.
    pub traffic: runtime::Traffic,
}

/// Reads the results that entries have shared and shares those of this entry, at each
/// request until the channel closes. It reads first: an earlier process of this entry may
/// have shared results, which the own ones replace. With `shared`, it does so through the
/// entry that this one follows, or in one round with those that follow this one.
pub async fn exchange(
    store: platform::StoreClient,
    requests: Receiver<Option<Box<direct::SharedEvidence>>>,
    shared: Option<SharedExchange>,
    control: Control,
) {
    let mut shared = shared.map(|shared| Through::new(shared, control.clone()));
    while let Ok(own) = requests.recv().await {
        if let Some(through) = &mut shared
            && let Some(results) = through.exchange(own.as_deref()).await
        {
            control.send(direct::Event::EvidenceRead(results)).await;
            continue;
        }
        match newest_evidence(&store).await {
            Ok(results) => control.send(direct::Event::EvidenceRead(results)).await,
            Err(err) => {
                log::info!(target: "rollout", error:% = err;
                    "rollout results of other entries could not be read");
                continue;
            }
        }
        if let Some(own) = own {
            share(&store, &own).await;
        }
    }
}

/// Exchange through another entry, or for others.
struct Through {
    shared: SharedExchange,
    control: Control,
    course: peers::AnyCourse,
    client: Option<http::Client>,
}

impl Through {
    fn new(shared: SharedExchange, control: Control) -> Self {
        Self {
            shared,
            control,
            // Unlike a topic, results need no earlier read.
            course: peers::AnyCourse::default().record_success(),
            client: None,
        }
    }

    /// Returns the results of all entries; `None` if this entry exchanges them itself.
    async fn exchange(
        &mut self,
        own: Option<&direct::SharedEvidence>,
    ) -> Option<Vec<direct::SharedEvidence>> {
        let duty = self.control.snapshot().duty.clone();
        let req = peers::EvidenceRequest {
            vm: self.shared.vm.clone(),
            own: own.cloned(),
        };
        if *duty == peers::Duty::Read {
            return self.shared.rounds.exchange(req).await;
        }
        let course = std::mem::take(&mut self.course);
        self.course = course.plan(&duty, runtime::Moment::now());
        let peers::AnyCourse::Following(course) = &self.course else {
            self.course = std::mem::take(&mut self.course).record_success();
            return None;
        };
        let addr = course.state.addr;
        let client = match self.client.take().filter(|client| client.addr() == addr) {
            Some(client) => client,
            None => http::Client::new(addr, self.shared.traffic.clone()),
        };
        let result = peers::exchange_evidence(&client, &req, FOLLOW_TIMEOUT).await;
        self.client = Some(client);
        let course = std::mem::take(&mut self.course);
        match result {
            Ok(results) => {
                self.course = course.record_success();
                Some(results)
            }
            Err(err) => {
                let reason = peers::FollowEnd::from(err);
                log::info!(target: "peers", reason:% = reason;
                    "exchanges rollout results without the entry that it follows");
                let ended = course.end_following(reason, runtime::Moment::now());
                self.course = ended.record_success();
                None
            }
        }
    }
}

/// Lists the results that entries have shared.
pub async fn newest_evidence(
    store: &platform::StoreClient,
) -> Result<Vec<direct::SharedEvidence>, platform::PlatformError> {
    let topic = platform::evidence_record::TOPIC;
    let listing = feed::newest_records(store, topic).await?;
    let mut left_out = observe::LeftOut::default();
    left_out.push_unnamed(listing.without_key);
    let mut results = Vec::new();
    for (key, value) in &listing.records {
        let Some(value) = value else { continue };
        let decoded = platform::evidence_record::decode(value);
        results.extend(left_out.usable(key, decoded));
    }
    left_out.log("evidence");
    Ok(results)
}

async fn share(store: &platform::StoreClient, own: &direct::SharedEvidence) {
    let record = match platform::evidence_record::encode(own) {
        Ok(Some(record)) => record,
        Ok(None) => {
            log::error!(target: "rollout", service:% = own.service;
                "rollout results are not shared, their key is too long");
            return;
        }
        Err(err) => {
            log::error!(target: "rollout", service:% = own.service, error:% = err;
                "rollout results cannot be encoded");
            return;
        }
    };
    let topic = platform::evidence_record::TOPIC;
    if let Err(err) = store.append(topic, None, &[record]).await {
        log::info!(target: "rollout", service:% = own.service, error:% = err;
            "rollout results were not shared, other entries judge without them");
    }
}
