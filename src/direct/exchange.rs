//! Task that exchanges the results of rollouts with the other entries.

use smol::channel::Receiver;

use crate::control;
use crate::direct;
use crate::direct::feed;
use crate::platform;

type Control = control::Control<direct::Plane>;

/// Reads the results that entries have shared and shares those of this entry, at each
/// request until the channel closes. It reads first: an earlier process of this entry may
/// have shared results, which the own ones replace.
pub async fn exchange(
    store: platform::StoreClient,
    requests: Receiver<Option<Box<direct::SharedEvidence>>>,
    control: Control,
) {
    while let Ok(own) = requests.recv().await {
        match feed::newest_records(&store, platform::evidence_record::TOPIC).await {
            Ok((records, _)) => {
                let records = records.iter();
                let shared = records.filter_map(|(key, value)| {
                    platform::evidence_record::decode(key, value.as_ref()?)
                });
                control
                    .send(direct::Event::EvidenceRead(shared.collect()))
                    .await;
            }
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
