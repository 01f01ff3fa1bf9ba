//! Routing decisions, cascades, and the limits on retries and teams.

use std::sync::Arc;
use std::time::Instant;

use quetzalworks::catalog;
use quetzalworks::control::{
    EndpointKey, EndpointView, ProfileView, RolloutView, Snapshot, VersionView,
};
use quetzalworks::errors::ResultCode;
use quetzalworks::estimate::RequestClass;
use quetzalworks::fleet::{Report, Warmth};
use quetzalworks::ids::{Fingerprint, Incarnation, VersionName};
use quetzalworks::poison::Quarantine;
use quetzalworks::rollout::Allotment;
use quetzalworks::route::{self, Pin, Reason, RetryBudget, RouteRequest, TeamLoad};
use quetzalworks::session::MoveReason;
use quetzalworks::units::{MicroCost, Millis, Quality, Share};
use slotmap::SlotMap;

fn version(name: &str, cost: u64, prior: f64) -> VersionView {
    VersionView {
        name: name.parse().unwrap(),
        version: Arc::new(catalog::Version {
            model: "m".parse().unwrap(),
            prompt_cost: MicroCost(cost),
            output_cost: MicroCost(cost),
            prior_quality: Quality::clamped(prior),
            withdrawn: false,
        }),
    }
}

/// Returns a profile with the versions `small` (prior 0.6), `large` (0.9) and, in rollout,
/// `new` (0.8) with this share and allotment; the quality target is 0.7.
fn profile(share: f64, allotment: u64) -> ProfileView {
    let names = ["small", "large", "new"].map(|name| name.parse().unwrap());
    ProfileView {
        name: "chat".parse().unwrap(),
        profile: Arc::new(catalog::Profile {
            teams: vec!["red".parse().unwrap()],
            versions: names.to_vec(),
            quality_target: Quality::clamped(0.7),
            deadline_ms: Millis(1_000),
            verify: false,
            max_exposure: 10,
            rollout_steps: Vec::new(),
        }),
        versions: vec![version("small", 1, 0.6), version("large", 9, 0.9)],
        rollouts: vec![RolloutView {
            name: "new-in-chat".into(),
            version: version("new", 5, 0.8),
            share: Share::clamped(share),
            allotment: Arc::new(Allotment::new(allotment)),
        }],
    }
}

/// Returns six warm endpoints in three domains of two regions; all serve `large` and `new`,
/// and none serves `small` or `absent`.
fn fleet(edit: impl Fn(usize, &mut Report)) -> (Snapshot, Vec<EndpointKey>) {
    let mut snapshot = Snapshot::default();
    let mut slots: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let keys: Vec<EndpointKey> = (0..6).map(|_| slots.insert(())).collect();
    for (i, key) in keys.iter().enumerate() {
        let mut report = Report {
            limit: 10,
            max: 10,
            warmth: Warmth::Warm,
            accepting: true,
            first_token: Millis(100),
            ..Report::default()
        };
        edit(i, &mut report);
        let view = EndpointView {
            vm: format!("vm-{i}").parse().unwrap(),
            domain: format!("domain-{}", i / 2).parse().unwrap(),
            region: format!("region-{}", i / 4).parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(1),
            report,
            in_flight: Arc::default(),
        };
        snapshot.endpoints.insert(*key, view);
    }
    for version in ["large", "new"] {
        snapshot
            .by_version
            .insert(version.parse().unwrap(), keys.clone());
    }
    (snapshot, keys)
}

fn decide(
    snapshot: &Snapshot,
    profile: &ProfileView,
    pin: Option<Pin>,
    (excluded, possible_executions): (&[EndpointKey], usize),
    time_left: u64,
    seed: u64,
) -> Result<route::Route, ResultCode> {
    let (domain, region) = ("domain-0".parse().unwrap(), "region-0".parse().unwrap());
    let req = RouteRequest {
        class: RequestClass::default(),
        pin,
        fingerprint: Fingerprint(7),
        prefix: Some(Fingerprint(9)),
        time_left: Millis(time_left),
        excluded,
        possible_executions,
        domain: &domain,
        region: &region,
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    route::decide(snapshot, profile, &req, &mut rng).map_err(|refusal| refusal.code)
}

fn session(version: &str) -> Pin {
    Pin {
        version: version.parse().unwrap(),
        vm: Some("vm-5".parse().unwrap()),
        reason: Reason::Session,
    }
}

fn resume(version: &str) -> Pin {
    Pin {
        reason: Reason::Resume,
        ..session(version)
    }
}

/// Guards against a session that leaves its version, a version in rollout that gives more
/// answers than allotted, and the use of a withdrawn version.
#[test]
fn versions_are_chosen() {
    struct Case {
        name: &'static str,
        rollout: (f64, u64),
        pin: Option<Pin>,
        withdrawn: Option<&'static str>,
        /// Selected version, reason and why the session moved, or the code of the refusal.
        chosen: Result<(&'static str, Reason, Option<MoveReason>), ResultCode>,
    }
    let cheapest = |moved| Ok(("large", Reason::CheapestAtTarget, moved));
    let case = |name, rollout, pin, withdrawn, chosen| Case {
        name,
        rollout,
        pin,
        withdrawn,
        chosen,
    };
    let cases = [
        case("cheapest at target", (0.0, 0), None, None, cheapest(None)),
        case(
            "rollout",
            (1.0, 9),
            None,
            None,
            Ok(("new", Reason::Rollout, None)),
        ),
        case("allotment used up", (1.0, 0), None, None, cheapest(None)),
        case(
            "session",
            (1.0, 9),
            Some(session("large")),
            None,
            Ok(("large", Reason::Session, None)),
        ),
        case(
            "session in rollout",
            (0.1, 1),
            Some(session("new")),
            None,
            Ok(("new", Reason::Session, None)),
        ),
        case(
            "session in rollout without allotment",
            (0.1, 0),
            Some(session("new")),
            None,
            Err(ResultCode::Overloaded),
        ),
        case(
            "session in stopped rollout",
            (0.0, 9),
            Some(session("new")),
            None,
            cheapest(Some(MoveReason::VersionNotAllowed)),
        ),
        case(
            "session on a version without endpoint",
            (0.0, 0),
            Some(session("small")),
            None,
            Err(ResultCode::NoEndpoint),
        ),
        case(
            "session on a withdrawn version",
            (0.0, 0),
            Some(session("gone")),
            Some("gone"),
            cheapest(Some(MoveReason::VersionWithdrawn)),
        ),
        case(
            "resume in rollout",
            (0.0, 0),
            Some(resume("new")),
            None,
            Ok(("new", Reason::Resume, None)),
        ),
        case(
            "resume on a withdrawn version",
            (0.0, 0),
            Some(resume("gone")),
            Some("gone"),
            Err(ResultCode::VersionWithdrawn),
        ),
    ];
    for case in cases {
        let (mut snapshot, _) = fleet(|_, _| {});
        snapshot
            .withdrawn
            .extend(case.withdrawn.map(|name| name.parse().unwrap()));
        let profile = profile(case.rollout.0, case.rollout.1);
        let route = decide(&snapshot, &profile, case.pin, (&[], 0), 1_000, 1);
        let found = route
            .as_ref()
            .map(|route| (route.version.as_str(), route.reason, route.moved))
            .map_err(|code| *code);
        assert_eq!(found, case.chosen, "{}", case.name);
    }
}

/// Guards against exploration that is absent, that exceeds its fraction, or that selects a
/// version whose prior is below the target.
#[test]
fn a_small_fraction_explores() {
    struct Case {
        name: &'static str,
        prior: f64,
        /// Minimum and maximum number of explorations in 10,000 requests.
        explored: (usize, usize),
    }
    let cases = [
        Case {
            name: "prior at the target",
            prior: 0.8,
            explored: (120, 280),
        },
        Case {
            name: "prior below the target",
            prior: 0.6,
            explored: (0, 0),
        },
    ];
    let (snapshot, _) = fleet(|_, _| {});
    for case in cases {
        let mut profile = profile(0.0, 0);
        profile.versions.push(version("new", 20, case.prior));
        let reasons = (0..10_000).map(|seed| {
            let route = decide(&snapshot, &profile, None, (&[], 0), 1_000, seed).unwrap();
            let expected = ["large", "new"][usize::from(route.reason == Reason::Explore)];
            assert_eq!(route.version.as_str(), expected, "{}", case.name);
            route.reason
        });
        let count = reasons.filter(|reason| *reason == Reason::Explore).count();
        let (min, max) = case.explored;
        assert!((min..=max).contains(&count), "{}: {count}", case.name);
    }
}

struct EndpointCase {
    name: &'static str,
    edit: fn(usize, &mut Report),
    pinned: bool,
    crashes: u32,
    excluded: usize,
    /// Attempts on the excluded endpoints that may have been executed.
    ran: usize,
    time_left: u64,
    /// Indices of the endpoints that may be selected, or the code of the refusal.
    chosen: Result<&'static [usize], ResultCode>,
}

fn endpoint_cases() -> Vec<EndpointCase> {
    let plain = EndpointCase {
        name: "prefix, in the own domain",
        edit: |_, _| {},
        pinned: false,
        crashes: 0,
        excluded: 0,
        ran: 0,
        time_left: 1_000,
        chosen: Ok(&[0, 1]),
    };
    vec![
        EndpointCase {
            name: "session's endpoint",
            pinned: true,
            chosen: Ok(&[5]),
            ..plain
        },
        EndpointCase {
            name: "session's endpoint is loaded",
            edit: |i, report| report.running = if i == 5 { 9 } else { 0 },
            pinned: true,
            ..plain
        },
        EndpointCase {
            name: "session's endpoint is cold",
            edit: |i, report| report.warmth = if i == 5 { Warmth::Cold } else { Warmth::Warm },
            pinned: true,
            ..plain
        },
        EndpointCase {
            name: "own domain has failed the request",
            excluded: 2,
            chosen: Ok(&[2, 3]),
            ..plain
        },
        EndpointCase {
            name: "own region has failed the request",
            excluded: 4,
            chosen: Ok(&[4, 5]),
            ..plain
        },
        EndpointCase {
            name: "all have failed the request",
            excluded: 6,
            chosen: Err(ResultCode::NoEndpoint),
            ..plain
        },
        EndpointCase {
            name: "no time left for a first token",
            time_left: 100,
            chosen: Err(ResultCode::DeadlineNotRun),
            ..plain
        },
        EndpointCase {
            name: "suspect after its retry",
            crashes: 1,
            excluded: 2,
            ran: 2,
            chosen: Err(ResultCode::NoEndpoint),
            ..plain
        },
        EndpointCase {
            name: "suspect whose retry was refused",
            crashes: 1,
            excluded: 2,
            ran: 1,
            chosen: Ok(&[2, 3, 4, 5]),
            ..plain
        },
        EndpointCase {
            name: "quarantined",
            crashes: 2,
            chosen: Err(ResultCode::Quarantined),
            ..plain
        },
        plain,
    ]
}

/// Guards against an endpoint that is excluded, too slow, or not the one that affinity,
/// distance or suspicion requires.
#[test]
fn endpoints_are_chosen() {
    for case in endpoint_cases() {
        let (mut snapshot, keys) = fleet(case.edit);
        let mut quarantine = Quarantine::default();
        for _ in 0..case.crashes {
            quarantine.count_crash([Fingerprint(7)], Instant::now());
        }
        snapshot.quarantine = Arc::new(quarantine);
        for seed in 0..50 {
            let pin = case.pinned.then(|| session("large"));
            let excluded = (&keys[..case.excluded], case.ran);
            let profile = profile(0.0, 0);
            let route = decide(&snapshot, &profile, pin, excluded, case.time_left, seed);
            match (route, case.chosen) {
                (Ok(route), Ok(allowed)) => {
                    let found = keys.iter().position(|key| *key == route.endpoint);
                    assert!(allowed.contains(&found.unwrap()), "{}", case.name);
                }
                (route, chosen) => assert_eq!(route.err(), chosen.err(), "{}", case.name),
            }
        }
    }
}

/// Guards against a suspect that reaches more than one endpoint, and against entries of
/// other domains that select another one.
#[test]
fn a_suspect_has_one_endpoint() {
    let (mut snapshot, keys) = fleet(|i, report| report.running = u32::try_from(i).unwrap());
    let mut quarantine = Quarantine::default();
    quarantine.count_crash([Fingerprint(7)], Instant::now());
    snapshot.quarantine = Arc::new(quarantine);
    let mut chosen: Vec<_> = (0..50)
        .map(|seed| {
            decide(
                &snapshot,
                &profile(0.0, 0),
                Some(session("large")),
                (&[], 0),
                1_000,
                seed,
            )
        })
        .map(|route| route.unwrap().endpoint)
        .collect();
    chosen.dedup();
    assert_eq!(chosen.len(), 1);
    let best = keys.iter().max_by_key(|key| {
        let view = &snapshot.endpoints[**key];
        route::rank(Fingerprint(7), &view.vm)
    });
    assert_eq!(best, chosen.first());
}

/// Guards against a cascade that returns to a cheaper version, selects one without
/// endpoints, or bypasses the allotment of a rollout.
#[test]
fn cascades_go_up_in_cost() {
    struct Case {
        tried: &'static [&'static str],
        next: Option<&'static str>,
    }
    let cases = [
        Case {
            tried: &["small"],
            next: Some("large"),
        },
        Case {
            tried: &["new"],
            next: Some("large"),
        },
        Case {
            tried: &["large"],
            next: None,
        },
        Case {
            tried: &["small", "large"],
            next: None,
        },
        Case {
            tried: &["gone"],
            next: None,
        },
    ];
    let (snapshot, _) = fleet(|_, _| {});
    for case in cases {
        let tried: Vec<_> = case
            .tried
            .iter()
            .map(|name| name.parse().unwrap())
            .collect();
        let profile = profile(1.0, 9);
        let next = route::next_by_cost(&snapshot, &profile, &tried);
        assert_eq!(next.map(VersionName::as_str), case.next, "{:?}", case.tried);
    }
}

/// Guards against retries that exceed a tenth of the requests plus the burst.
#[test]
fn retries_are_bounded() {
    struct Case {
        requests: u32,
        retries: u32,
    }
    let cases = [
        Case {
            requests: 0,
            retries: 10,
        },
        Case {
            requests: 9,
            retries: 10,
        },
        Case {
            requests: 10,
            retries: 11,
        },
        Case {
            requests: 1_000,
            retries: 110,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::default();
        let mut made = 0;
        while budget.try_spend() {
            made += 1;
        }
        for _ in 0..case.requests {
            budget.credit_request();
            made += u32::from(budget.try_spend());
        }
        assert_eq!(made, case.retries, "{} requests", case.requests);
        for _ in 0..1_000 {
            budget.credit_request();
        }
        let burst = (0..100).filter(|_| budget.try_spend()).count();
        assert_eq!(burst, 10, "a burst after {} requests", case.requests);
    }
}

/// Guards against a team that exceeds its limit, and against slots that are not released.
#[test]
fn teams_are_limited() {
    let (load, red, blue) = (
        TeamLoad::default(),
        "red".parse().unwrap(),
        "blue".parse().unwrap(),
    );
    let first = load.acquire(&red, 2).unwrap();
    let second = load.acquire(&red, 2).unwrap();
    let refused = load.acquire(&red, 2).unwrap_err();
    assert_eq!(refused.code, ResultCode::Overloaded);
    assert!(refused.retry_after.is_some());
    assert!(load.acquire(&blue, 2).is_ok());
    drop(first);
    assert_eq!(load.running(&red), 1);
    drop(second);
    assert_eq!(load.total(), 0);
}
