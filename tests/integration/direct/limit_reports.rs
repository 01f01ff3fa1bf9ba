//! Limits of endpoints as entries share them through the store.

use quetzalworks::direct::{
    Assignment, Batch, Effect, EndpointChange, Event, LimitReport, NamedLimit, Scope,
};
use quetzalworks::ids::LeaseNumber;
use quetzalworks::observe::LeftOut;
use quetzalworks::platform::report::{self, Report};
use quetzalworks::platform::{self, limit_record};
use quetzalworks::units::{Millis, Rate};

use crate::direct::world::{TestWorld, entry, position, record};

struct Case {
    name: &'static str,
    act: fn(&mut TestWorld),
    /// Limit at this entry in the end.
    limit: Option<f64>,
    /// Limits that it has published.
    published: &'static [Option<f64>],
}

/// Guards against limits that some entries never learn of or keep to for ever, and against an
/// entry that trusts the record of another incarnation, or publishes what is on record.
#[test]
fn entries_share_the_limits_that_endpoints_name() {
    for case in cases() {
        let mut world = TestWorld::new();
        world.writers(&[("limited", "v1")]);
        // This entry holds all leases, and so publishes at once.
        let leases = (0..96).map(LeaseNumber).collect();
        let call_started = world.now;
        world.tick(vec![Event::Assigned(Assignment {
            leases,
            call_started,
        })]);
        (case.act)(&mut world);
        world.advance(100);
        let view = &world.snapshot.services[&"writer".parse().unwrap()];
        let limit = view.endpoints[0].live.named_limit();
        assert_eq!(limit, case.limit.map(Rate::clamped), "{}", case.name);
        let published = world.effects.iter().filter_map(|effect| match effect {
            Effect::PublishLimit(report) => Some(report.limit.map(|limit| limit.rate.get())),
            _ => None,
        });
        let published: Vec<_> = published.collect();
        assert_eq!(published, case.published, "{}", case.name);
    }
}

fn cases() -> Vec<Case> {
    let case = |name, act, limit, published| Case {
        name,
        act,
        limit,
        published,
    };
    vec![
        case(
            "named in an answer",
            |world| named(world, Some(2.0)),
            Some(2.0),
            &[Some(2.0)],
        ),
        case(
            "named in an answer, and on record",
            |world| {
                named(world, Some(2.0));
                on_record(world, Scope::News, &[Some((2.0, BORN))]);
                world.advance(5_000);
            },
            Some(2.0),
            &[Some(2.0)],
        ),
        case(
            "not on record in time",
            |world| {
                named(world, Some(2.0));
                world.advance(2_500);
            },
            Some(2.0),
            &[Some(2.0), Some(2.0)],
        ),
        case(
            "known from another entry",
            |world| on_record(world, Scope::News, &[Some((2.0, BORN))]),
            Some(2.0),
            &[],
        ),
        case(
            "over, by an answer",
            |world| {
                on_record(world, Scope::News, &[Some((2.0, BORN))]);
                named(world, None);
            },
            None,
            &[None],
        ),
        case(
            "over, by another entry",
            |world| on_record(world, Scope::News, &[Some((2.0, BORN)), None]),
            None,
            &[],
        ),
        case(
            "over while this entry could not read",
            |world| {
                on_record(world, Scope::News, &[Some((2.0, BORN))]);
                on_record(world, Scope::Complete, &[]);
            },
            None,
            &[],
        ),
        case(
            "of an endpoint whose record lapses and comes back",
            |world| {
                on_record(world, Scope::News, &[Some((2.0, BORN))]);
                lapse(world);
            },
            Some(2.0),
            &[],
        ),
        case(
            "of an earlier incarnation",
            |world| on_record(world, Scope::News, &[Some((2.0, BORN - 1))]),
            None,
            &[],
        ),
        case(
            "of an earlier incarnation, for long",
            |world| {
                on_record(world, Scope::News, &[Some((2.0, BORN - 1))]);
                world.advance(31_000);
            },
            None,
            &[None],
        ),
        case(
            "read before the record of the endpoint",
            |world| {
                on_record(world, Scope::News, &[Some((2.0, BORN + 1))]);
                let mut value = entry("writer", "v1", 1);
                value["born"] = (BORN + 1).into();
                let seen = EndpointChange::Seen(record("limited", &value));
                world.endpoints(false, vec![seen]);
            },
            Some(2.0),
            &[],
        ),
    ]
}

/// Start of the endpoint by its record.
const BORN: u64 = 1_000;

/// The record of the endpoint lapses, and comes back for the same incarnation.
fn lapse(world: &mut TestWorld) {
    let id = "limited".parse().unwrap();
    world.endpoints(false, vec![EndpointChange::Removed(id)]);
    let value = entry("writer", "v1", 2);
    let seen = EndpointChange::Seen(record("limited", &value));
    world.endpoints(false, vec![seen]);
}

/// An answer of the endpoint names this limit.
fn named(world: &mut TestWorld, limit: Option<f64>) {
    let view = &world.snapshot.services[&"writer".parse().unwrap()];
    assert!(view.endpoints[0].live.name_limit(limit.map(Rate::clamped)));
    world.tick(vec![Event::LimitNamed("limited".parse().unwrap())]);
}

/// The store holds these limits of the endpoint, with the start of the incarnation, one after
/// the other.
fn on_record(world: &mut TestWorld, scope: Scope, limits: &[Option<(f64, u64)>]) {
    let report = |limit: &Option<(f64, u64)>| LimitReport {
        endpoint: "limited".parse().unwrap(),
        limit: limit.map(|(rate, started)| NamedLimit {
            rate: Rate::clamped(rate),
            started: Millis(started),
        }),
    };
    let batch = Batch {
        scope,
        items: limits.iter().map(report).collect(),
        end: position(1),
        confirmed: Some(world.now),
    };
    world.tick(vec![Event::LimitReports(batch)]);
}

/// Guards against a limit record that entries cannot read back, or that stops them.
#[test]
fn limit_records_are_read_back() {
    struct Case {
        key: &'static str,
        value: Option<&'static str>,
        read: Read,
    }
    #[derive(Debug, PartialEq)]
    enum Read {
        Limit(f64),
        NoLimit,
        Ignored,
    }
    let case = |key, value, read| Case { key, value, read };
    let written = Some(r#"{"Rate":1.2,"Started":7}"#);
    let cases = [
        case("limits/i-1", written, Read::Limit(1.2)),
        case("limits/i-1", None, Read::NoLimit),
        case("limits/i-1", Some("{}"), Read::Ignored),
        case(
            "limits/i-1",
            Some(r#"{"Rate":-1,"Started":7}"#),
            Read::Ignored,
        ),
        case("limits/", written, Read::Ignored),
        case("crashes/i-1", written, Read::Ignored),
    ];
    for case in cases {
        let value = case.value.map(Into::into);
        let decode = |key: &str, value| match report::decode(key, value, &mut LeftOut::default()) {
            Some(Report::Limit(report)) => Some(report),
            _ => None,
        };
        let report = decode(case.key, value.as_ref());
        let read = match report.as_ref().map(|report| report.limit) {
            Some(Some(limit)) => Read::Limit(limit.rate.get()),
            Some(None) => Read::NoLimit,
            None => Read::Ignored,
        };
        assert_eq!(read, case.read, "{} {:?}", case.key, case.value);
        if let Some(report) = report {
            let content = limit_record::encode(&report).unwrap().unwrap();
            let (key, value) = platform::split_key(&content).unwrap();
            assert_eq!(decode(key, value.as_ref()), Some(report));
        }
    }
}
