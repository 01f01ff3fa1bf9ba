//! Exchange of the results of rollouts through readers.

use std::time::Duration;

use quetzalworks::direct::{Effect, Event, Sample, SharedEvidence, Tallies, newest_evidence};
use quetzalworks::ids::Incarnation;
use quetzalworks::peers::{EvidenceRequest, EvidenceRounds, overlay, run_rounds};
use quetzalworks::platform::StoreClient;
use quetzalworks::rollout::AttemptOutcome;
use quetzalworks::standin::{LogCommand, Outage, StandinLog};
use serde_json::json;

use crate::direct::world::{TestWorld, operator_change};
use crate::peers::election::member;
use crate::testing::{http, isolation};

fn sample(outcome: AttemptOutcome) -> Sample {
    Sample {
        route: "r".parse().unwrap(),
        version: "v2".parse().unwrap(),
        endpoint: "e".parse().unwrap(),
        model: None,
        outcome,
    }
}

/// Results of an entry with so many failures.
fn results(vm: &str, process: u64, failures: usize) -> SharedEvidence {
    let mut tallies = Tallies::default();
    for _ in 0..failures {
        tallies.add(sample(AttemptOutcome::Failed));
    }
    SharedEvidence {
        service: "writer".parse().unwrap(),
        vm: vm.parse().unwrap(),
        process: Incarnation(process),
        target: "v2".parse().unwrap(),
        tallies,
    }
}

/// Guards against results that count twice or not at all, and against an entry that does not
/// see those of its earlier process.
#[test]
fn results_of_the_same_round_replace_those_listed() {
    struct Case {
        name: &'static str,
        listed: Vec<SharedEvidence>,
        shared: Vec<SharedEvidence>,
        expected: Vec<SharedEvidence>,
    }
    let cases = [
        Case {
            name: "none",
            listed: vec![],
            shared: vec![],
            expected: vec![],
        },
        Case {
            name: "listed alone",
            listed: vec![results("b", 1, 1), results("c", 1, 2)],
            shared: vec![],
            expected: vec![results("b", 1, 1), results("c", 1, 2)],
        },
        Case {
            name: "newer ones of another entry",
            listed: vec![results("b", 1, 1), results("c", 1, 2)],
            shared: vec![results("b", 1, 5)],
            expected: vec![results("c", 1, 2), results("b", 1, 5)],
        },
        Case {
            name: "those of the own earlier process stay",
            listed: vec![results("a", 1, 9)],
            shared: vec![results("a", 2, 1), results("b", 1, 1)],
            expected: vec![results("a", 1, 9), results("b", 1, 1)],
        },
    ];
    for case in cases {
        let shared: Vec<_> = case.shared.iter().collect();
        let merged = overlay(&case.listed, &shared, &"a".parse().unwrap());
        assert_eq!(merged, case.expected, "{}", case.name);
    }
}

/// Guards against a call for each entry, against results that a round loses, and against
/// answers while the store is away.
#[test]
fn entries_that_ask_together_share_one_round() {
    smol::block_on(async {
        let traffic = http::traffic();
        let log = StandinLog::bind(isolation::free_addr(), &traffic).await;
        let log = log.unwrap();
        let store = StoreClient::new(log.addr(), traffic.clone());
        let (rounds, queue) = EvidenceRounds::new();
        let ask = |i: usize| {
            let vm = format!("entry-{i}");
            rounds.exchange(EvidenceRequest {
                vm: vm.parse().unwrap(),
                own: Some(results(&vm, 1, i + 1)),
            })
        };
        // All ask before the rounds are served.
        let mut asking: Vec<_> = (0..6).map(|i| Box::pin(ask(i))).collect();
        for asking in &mut asking {
            assert!(smol::future::poll_once(asking).await.is_none());
        }
        let serving = traffic.spawn(run_rounds(store.clone(), queue));
        for asking in asking {
            let others = asking.await.unwrap();
            assert_eq!(others.len(), 5);
        }
        // The first one may get a round of its own.
        assert!(log.calls("list_evidence") <= 2);
        assert!(log.calls("append_evidence") <= 2);
        assert_eq!(newest_evidence(&store).await.unwrap().len(), 6);
        log.control(LogCommand::Outage(Outage::Refusing));
        assert_eq!(ask(7).await, None);
        log.control(LogCommand::Outage(Outage::Up));
        assert_eq!(newest_evidence(&store).await.unwrap().len(), 6);
        drop(serving);
    });
}

/// Guards against results that an entry has given up on, and that replace its newer ones.
#[test]
fn results_that_have_waited_too_long_are_left_out() {
    smol::block_on(async {
        let traffic = http::traffic();
        let log = StandinLog::bind(isolation::free_addr(), &traffic).await;
        let log = log.unwrap();
        let store = StoreClient::new(log.addr(), traffic.clone());
        let (rounds, queue) = EvidenceRounds::new();
        let ask = |vm: &str| {
            rounds.exchange(EvidenceRequest {
                vm: vm.parse().unwrap(),
                own: Some(results(vm, 1, 1)),
            })
        };
        let mut old = Box::pin(ask("entry-1"));
        assert!(smol::future::poll_once(&mut old).await.is_none());
        std::thread::sleep(Duration::from_millis(300));
        let serving = traffic.spawn(run_rounds(store.clone(), queue));
        assert_eq!(old.await, None);
        assert_eq!(newest_evidence(&store).await.unwrap(), []);
        drop(serving);
    });
}

/// Guards against results that are lost with the reader that was to share them.
#[test]
fn a_follower_shares_again_what_is_not_listed() {
    struct Case {
        name: &'static str,
        /// Number of listed entries, which decides whether this one follows.
        entries: usize,
        is_listed: bool,
        is_shared_again: bool,
    }
    let case = |name, entries, is_listed, is_shared_again| Case {
        name,
        entries,
        is_listed,
        is_shared_again,
    };
    let cases = [
        case("lost", 9, false, true),
        case("listed", 9, true, false),
        case("reads for itself", 0, false, false),
    ];
    for case in cases {
        let mut world = TestWorld::new();
        let members = (0..case.entries).map(|i| member(i, 0)).collect();
        world.tick(vec![Event::MembersListed(members)]);
        let order = json!({ "Service": "writer", "Target": "v2", "DurationS": 60 });
        world.operator(false, vec![operator_change("rollout/writer", Some(&order))]);
        let service = "writer".parse().unwrap();
        let evidence = world.snapshot.services[&service].evidence.clone().unwrap();
        evidence.add(sample(AttemptOutcome::Answered(Some(
            Duration::from_millis(5),
        ))));
        world.advance(2_500);
        let own = last_shared(&mut world).expect(case.name);
        let listed = case.is_listed.then_some(own).into_iter().collect();
        world.tick(vec![Event::EvidenceRead(listed)]);
        world.advance(2_500);
        let again = last_shared(&mut world);
        assert_eq!(again.is_some(), case.is_shared_again, "{}", case.name);
    }
}

/// Returns what the last exchange was to share, and forgets all effects.
fn last_shared(world: &mut TestWorld) -> Option<SharedEvidence> {
    let effects = std::mem::take(&mut world.effects);
    let own = effects.into_iter().rev().find_map(|effect| match effect {
        Effect::ExchangeEvidence(own) => Some(own),
        _ => None,
    });
    own.flatten().map(|own| *own)
}
