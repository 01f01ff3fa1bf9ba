//! The lease: one holder at a time, and the next holder continues its work.

use std::net::SocketAddr;

use quetzalworks::errors::{Refusal, ResultCode};
use quetzalworks::fleet::OrderAction;
use quetzalworks::ids::Fence;
use quetzalworks::standin::EngineProfile;
use quetzalworks::wire::{self, StreamOpening};
use serde_json::json;
use smol::block_on;

use crate::control_proofs::kit;
use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::{Spec, serving};
use crate::testing::{ledger, operator, traffic};

const CALLERS: usize = 4;

/// Guards against a rollout that stalls after its lease holder was killed, or
/// that the next holder starts again from the beginning.
#[test]
fn another_entry_continues_after_the_holder_is_killed() {
    let cluster = Cluster::start_spec(kit::spec(3, 3));
    let steps = json!([{ "share": 0.5, "min_ratings": 10 }]);
    kit::start_rollout(&cluster, 0.95, 400, &steps);
    operator::wait_rollout(&cluster, 0, "stepping");
    let (holder, fence) = ledger::wait_holder(&cluster);
    let other = (holder + 1) % 3;
    traffic::with_background_traffic(&cluster, "chat", CALLERS, |_| {
        cluster.entries[holder].process.kill_unreaped();
        ledger::wait_later_claim(&cluster, fence);
        operator::wait_rollout(&cluster, other, "complete");
    });
    let (_, records) = ledger::replay(&cluster);
    let starts = records
        .iter()
        .filter(|record| record.had_effect && format!("{:?}", record.body).contains("Start {"));
    assert_eq!(starts.count(), 1, "the rollout was started once");
}

/// Guards against orders and records from a holder that was paused for longer
/// than its lease is valid.
#[test]
fn a_holder_paused_beyond_its_lease_has_no_effect() {
    struct Case {
        name: &'static str,
        engine: usize,
        checks_fence: bool,
    }
    let cases = [
        Case {
            name: "the engine checks fences",
            engine: 0,
            checks_fence: true,
        },
        Case {
            name: "the engine ignores fences",
            engine: 1,
            checks_fence: false,
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        engine: Box::new(|i| EngineProfile {
            checks_fence: i == 0,
            ..serving(&["small-1", "small-2"])
        }),
        proxy_log: true,
        ..kit::spec(3, 2)
    });
    let steps = json!([{ "share": 0.5, "min_ratings": 1_000 }]);
    kit::start_rollout(&cluster, 0.95, 400, &steps);
    operator::wait_rollout(&cluster, 0, "stepping");
    let (holder, old) = ledger::wait_holder(&cluster);
    let (_, successor) = traffic::with_background_traffic(&cluster, "chat", CALLERS, |_| {
        cluster.entries[holder].process.suspend();
        let successor = ledger::wait_later_claim(&cluster, old);
        cluster.entries[holder].process.resume();
        successor
    });
    for case in cases {
        let orders = cluster.engines[case.engine].stats().orders;
        let answer = send_order(&cluster, &cluster.sidecars[case.engine], old);
        let code = answer.map_err(|refusal| refusal.code);
        assert_eq!(code, Err(ResultCode::StaleFence), "{}", case.name);
        assert_eq!(
            cluster.engines[case.engine].stats().orders,
            orders,
            "{}",
            case.name
        );
        cluster.engines[case.engine].update_profile(|profile| {
            assert_eq!(profile.checks_fence, case.checks_fence, "{}", case.name);
        });
    }
    let (state, records) = ledger::replay(&cluster);
    let late = records
        .iter()
        .filter(|record| record.offset > successor.0 && record.fence() == Some(old));
    assert_eq!(late.filter(|record| record.had_effect).count(), 0);
    assert_eq!(state.state().lease.as_ref().unwrap().fence, successor);
}

/// Sends an order with a fencing number, as the former lease holder would.
fn send_order(cluster: &Cluster, sidecar: &Node, fence: Fence) -> Result<(), Refusal> {
    let node = cluster.peer("former-holder");
    let vm = sidecar.vm.parse().unwrap();
    let addr: SocketAddr = sidecar.peer_addr;
    block_on(async {
        let connection = node.connect(&vm, addr).await.unwrap();
        let (mut tx, mut rx) = connection.open_bi().await.unwrap();
        let action = OrderAction::Load("old-1".parse().unwrap());
        wire::write(&mut tx, &StreamOpening::Order { fence, action })
            .await
            .unwrap();
        wire::read::<Result<(), Refusal>>(&mut rx)
            .await
            .unwrap()
            .unwrap()
    })
}
