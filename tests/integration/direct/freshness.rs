//! What confirms that an entry lacks nothing that the store holds.

use quetzalworks::direct::{
    Assignment, Batch, Event, Listings, Proof, Scope, Snapshot, TopicReads,
};
use quetzalworks::ids::{LeaseNumber, Position, StoreEra};
use quetzalworks::runtime::Moment;

use crate::direct::world::{TestWorld, config, operator_change, position};

/// Age of the configuration or the leases in a snapshot, in milliseconds.
fn age(world: &TestWorld, snapshot: &Snapshot, is_share: bool) -> u128 {
    let freshness = if is_share {
        &snapshot.share_freshness
    } else {
        &snapshot.freshness
    };
    freshness.age(world.now).unwrap().as_millis()
}

/// Guards against requests that are admitted by a snapshot which lacks the change that has
/// been confirmed.
#[test]
fn a_change_does_not_confirm_the_snapshot_before_it() {
    struct Case {
        name: &'static str,
        act: fn(&mut TestWorld),
        is_share: bool,
        /// Age in the snapshot of a second before.
        before: u128,
    }
    fn assign(world: &mut TestWorld, leases: &[u32]) {
        let leases = leases.iter().map(|number| LeaseNumber(*number)).collect();
        let call_started = world.now;
        world.tick(vec![Event::Assigned(Assignment {
            leases,
            call_started,
        })]);
    }
    fn configure(world: &mut TestWorld, version: u64) {
        world.operator(
            false,
            vec![operator_change("config", Some(&config(version)))],
        );
    }
    let case = |name, act, is_share, before| Case {
        name,
        act,
        is_share,
        before,
    };
    let cases = [
        case("no record", |world| world.operator(false, vec![]), false, 0),
        case("the same version", |world| configure(world, 1), false, 0),
        case("a new version", |world| configure(world, 2), false, 1_000),
        case("the same leases", |world| assign(world, &[1, 2]), true, 0),
        case("a lease is lost", |world| assign(world, &[1]), true, 1_000),
    ];
    for case in cases {
        let mut world = TestWorld::new();
        assign(&mut world, &[1, 2]);
        let before = world.snapshot.clone();
        world.advance(1_000);
        (case.act)(&mut world);
        assert_eq!(
            age(&world, &before, case.is_share),
            case.before,
            "{}",
            case.name
        );
        assert_eq!(
            age(&world, &world.snapshot, case.is_share),
            0,
            "{}",
            case.name
        );
    }
}

/// Guards against requests that hold a snapshot while its successors are published and
/// confirmed, and are admitted by a key that it still has.
#[test]
fn a_confirmation_reaches_the_last_snapshot_only() {
    struct Case {
        name: &'static str,
        /// Version in the read that proves nothing; `None` if it changes nothing.
        unproven: Option<u64>,
        /// Age in the snapshot of a second before, once a read has proven that nothing lacks.
        before: u128,
    }
    let case = |name, unproven, before| Case {
        name,
        unproven,
        before,
    };
    let cases = [
        case("nothing has changed", None, 0),
        case("the same version", Some(1), 0),
        case("a change that was not proven", Some(2), 1_000),
    ];
    for case in cases {
        let mut world = TestWorld::new();
        let before = world.snapshot.clone();
        world.advance(1_000);
        let change = |version| operator_change("config", Some(&config(version)));
        world.tick(vec![Event::Operator(Batch {
            scope: Scope::News,
            items: case.unproven.map(change).into_iter().collect(),
            end: position(1),
            confirmed: None,
        })]);
        world.operator(false, vec![]);
        assert_eq!(age(&world, &before, false), case.before, "{}", case.name);
        assert_eq!(age(&world, &world.snapshot, false), 0, "{}", case.name);
    }
}

/// The first listing, and that of a copy from which the store has come back.
const COPY: &[(u64, u64, u64)] = &[(1, 0, 10), (2, 5_000, 5_010)];

/// Guards against a listing of a copy that counts as all that was written, also where another
/// one is made early or the process has just started.
#[test]
fn a_listing_counts_as_whole_once_all_is_written_again() {
    use Scope::{Complete, Restored};
    struct Case {
        name: &'static str,
        /// Era, begin and end in milliseconds of each listing.
        listings: Vec<(u64, u64, u64)>,
        scope: Scope,
        are_settled: bool,
    }
    let case = |name, listings, scope, are_settled| Case {
        name,
        listings,
        scope,
        are_settled,
    };
    let again = |era, started| [COPY, &[(era, started, started + 10)]].concat();
    let cases = [
        case("the first one", vec![(1, 0, 10)], Complete, true),
        case("a store without eras", vec![(0, 0, 10)], Complete, true),
        case(
            "the first one, of a copy",
            vec![(2, 0, 10)],
            Complete,
            false,
        ),
        case(
            "the first one, again",
            vec![(2, 0, 10), (2, 2_210, 2_220)],
            Complete,
            true,
        ),
        case(
            "the same era",
            vec![(1, 0, 10), (1, 5_000, 5_010)],
            Complete,
            true,
        ),
        case("of a copy", COPY.to_vec(), Restored, false),
        case("of a copy, again", again(2, 7_210), Complete, true),
        case(
            "of a copy, again too early",
            again(2, 7_200),
            Restored,
            false,
        ),
        case("of the next copy", again(3, 7_210), Restored, false),
    ];
    for case in cases {
        let mut listings = Listings::default();
        let mut scope = None;
        for (era, started, ended) in case.listings {
            let at = Moment::from_millis;
            scope = Some(listings.record(StoreEra(era), true, at(started), at(ended)));
        }
        assert_eq!(scope, Some(case.scope), "{}", case.name);
        assert_eq!(listings.are_settled(), case.are_settled, "{}", case.name);
    }
}

/// Guards against keys that are accepted as current, although the listing may not have reached
/// the configuration that withdraws them.
#[test]
fn a_partial_listing_confirms_nothing_until_a_whole_one() {
    struct Case {
        name: &'static str,
        /// Era and begin in milliseconds of each listing, and whether it reaches the last key.
        listings: &'static [(u64, u64, bool)],
        scope: Scope,
        proof: Proof,
        /// Whether the topic is listed again 10 s after the last one.
        is_repeated: bool,
    }
    let at = Moment::from_millis;
    let cases = [
        Case {
            name: "whole",
            listings: &[(1, 0, true)],
            scope: Scope::Complete,
            proof: Proof::Whole(at(50_000)),
            is_repeated: false,
        },
        Case {
            name: "partial",
            listings: &[(1, 0, false)],
            scope: Scope::Partial,
            proof: Proof::Partial,
            is_repeated: true,
        },
        Case {
            name: "partial, again",
            listings: &[(1, 0, false), (1, 10_000, false)],
            scope: Scope::Partial,
            proof: Proof::Partial,
            is_repeated: true,
        },
        Case {
            name: "partial, then whole",
            listings: &[(1, 0, false), (1, 10_000, true)],
            scope: Scope::Complete,
            proof: Proof::Whole(at(50_000)),
            is_repeated: false,
        },
        Case {
            name: "partial, then whole early",
            listings: &[(1, 0, false), (1, 1_000, true)],
            scope: Scope::Complete,
            proof: Proof::Whole(at(50_000)),
            is_repeated: false,
        },
        Case {
            name: "partial, long after a return from a copy",
            listings: &[
                (1, 0, true),
                (2, 1_000, true),
                (2, 4_000, true),
                (2, 20_000, false),
            ],
            scope: Scope::Partial,
            proof: Proof::Partial,
            is_repeated: true,
        },
        Case {
            name: "partial, of a copy",
            listings: &[(1, 0, true), (2, 1_000, false)],
            scope: Scope::Restored,
            proof: Proof::Rewriting,
            is_repeated: true,
        },
    ];
    for case in cases {
        let mut reads = TopicReads::default();
        let mut scope = None;
        let mut last = 0;
        for (era, started, is_whole) in case.listings {
            last = *started;
            let now = at(last);
            let end = Position {
                era: StoreEra(*era),
                ..position(7)
            };
            scope = Some(reads.record_listing(end, *is_whole, now, now).0);
        }
        assert_eq!(scope, Some(case.scope), "{}", case.name);
        let is_repeated = reads.next(at(last + 10_000)).is_none();
        assert_eq!(is_repeated, case.is_repeated, "{}", case.name);
        let proof = reads.record_read(position(8), 0, at(50_000));
        assert_eq!(proof, case.proof, "{}", case.name);
    }
}
