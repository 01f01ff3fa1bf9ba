//! The choice of readers, the names of members and the listing of the group.

use std::collections::HashMap;

use quetzalworks::ids::{DivisionGeneration, DomainName, VmName};
use quetzalworks::peers::{Duty, ListingPlan, Member, Members};
use quetzalworks::platform::group;
use quetzalworks::runtime::Moment;

pub fn member(i: usize, domain: usize) -> Member {
    let (high, low) = (i / 250, i % 250);
    let text = format!("edge-{domain}-{i}/domain-{domain}/10.{domain}.{high}.{low}:7340");
    text.parse().unwrap()
}

fn place(member: &Member) -> (VmName, DomainName) {
    let (domain, _) = member.place.clone().unwrap();
    (member.vm.clone(), domain)
}

/// Guards against too many readers, a failure domain without one, a follower whose reader
/// does not read, and entries that disagree.
#[test]
fn few_entries_of_each_domain_read_for_the_others() {
    struct Case {
        name: &'static str,
        entries: usize,
        domains: usize,
        leases: u32,
        readers: std::ops::RangeInclusive<usize>,
    }
    let case = |name, entries, domains, leases, readers| Case {
        name,
        entries,
        domains,
        leases,
        readers,
    };
    let cases = [
        case("a small site", 8, 3, 96, 0..=0),
        case("one more", 9, 3, 96, 3..=3),
        case("one domain has two", 9, 1, 96, 2..=2),
        case("21 entries", 21, 3, 96, 3..=3),
        case("two readers beyond 16 of a domain", 34, 2, 96, 4..=4),
        case("300 entries, all listed", 300, 3, 2_400, 21..=21),
        case("96 of 300 are listed", 96, 3, 96, 19..=21),
    ];
    for case in cases {
        let all: Vec<_> = (0..case.entries)
            .map(|i| member(i, i % case.domains))
            .collect();
        let duties: HashMap<_, _> = duties(&all, case.leases);
        let readers = duties.values().filter(|duty| **duty == Duty::Read).count();
        assert!(case.readers.contains(&readers), "{}: {readers}", case.name);
        let mut followers: HashMap<VmName, usize> = HashMap::new();
        for own in &all {
            if let Duty::Follow { reader, addr } = &duties[&own.vm] {
                assert_eq!(duties[reader], Duty::Read, "{}", case.name);
                let row = all.iter().find(|member| member.vm == *reader).unwrap();
                let (domain, listed) = row.place.clone().unwrap();
                assert_eq!((&place(own).1, *addr), (&domain, listed), "{}", case.name);
                *followers.entry(reader.clone()).or_default() += 1;
            }
        }
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= 40, "{}: {most} follow one", case.name);
    }
}

fn duties(all: &[Member], leases: u32) -> HashMap<VmName, Duty> {
    let mut members = Members::default();
    // Another order of the rows must not matter.
    let listed: Vec<_> = all.iter().rev().cloned().collect();
    members.replace(&listed, leases);
    let duty = |own: &Member| {
        let (vm, domain) = place(own);
        let duty = members.duty(&vm, &domain);
        (vm, duty)
    };
    all.iter().map(duty).collect()
}

/// Guards against a lost reader that stays the choice, and against followers of other
/// readers that change theirs.
#[test]
fn only_followers_of_a_lost_reader_change() {
    for lost_of in 0..3 {
        let mut all: Vec<_> = (0..45).map(|i| member(i, i % 3)).collect();
        let before = duties(&all, 96);
        let lost = all
            .iter()
            .find(|own| {
                before[&own.vm] == Duty::Read
                    && place(own).1.as_str().ends_with(&lost_of.to_string())
            })
            .cloned()
            .unwrap();
        all.retain(|own| own.vm != lost.vm);
        let after = duties(&all, 96);
        for own in &all {
            let duty = &after[&own.vm];
            let followed_lost =
                matches!(&before[&own.vm], Duty::Follow { reader, .. } if *reader == lost.vm);
            if followed_lost {
                assert!(
                    !matches!(duty, Duty::Follow { reader, .. } if *reader == lost.vm),
                    "{} still follows {}",
                    own.vm,
                    lost.vm
                );
            } else {
                assert_eq!(*duty, before[&own.vm], "{}", own.vm);
            }
        }
    }
}

/// Guards against entries whose domain is unknown to the listing, or that are not listed.
#[test]
fn an_entry_that_is_not_listed_follows_too() {
    let all: Vec<_> = (0..9).map(|i| member(i, 0)).collect();
    let mut members = Members::default();
    members.replace(&all, 96);
    for domain in ["domain-0", "domain-9"] {
        let duty = members.duty(&"late".parse().unwrap(), &domain.parse().unwrap());
        assert!(matches!(duty, Duty::Follow { .. }), "{domain}: {duty}");
    }
}

/// Guards against members of another program, or without an address, that are followed.
#[test]
fn members_are_read_from_their_names() {
    struct Case {
        text: &'static str,
        is_valid: bool,
        has_place: bool,
    }
    let case = |text, is_valid, has_place| Case {
        text,
        is_valid,
        has_place,
    };
    let cases = [
        case("edge-1/north/10.0.0.1:7340", true, true),
        case("edge-1", true, false),
        case("edge-1/north", false, false),
        case("edge-1/north/nowhere", false, false),
        case("edge 1/north/10.0.0.1:7340", false, false),
        case("", false, false),
    ];
    for case in cases {
        let parsed = case.text.parse::<Member>();
        assert_eq!(parsed.is_ok(), case.is_valid, "{}", case.text);
        if let Ok(member) = parsed {
            assert_eq!(member.place.is_some(), case.has_place, "{}", case.text);
            assert_eq!(member.to_string(), case.text);
        }
    }
    let rows = br#"{"Generation":3,"parts":[["share-0",0,"b/n/10.0.0.2:1",0],
        ["share-0",1,"a",0],["share-1",0,"b/n/10.0.0.2:1",7],["share-1",1,"not a name",0]]}"#;
    let listed = group::decode_owners(rows).unwrap();
    let names: Vec<_> = listed.iter().map(ToString::to_string).collect();
    assert_eq!(names, ["a", "b/n/10.0.0.2:1"]);
    assert_eq!(group::decode_owners(b"{}"), None);
}

/// Guards against a listing for each change while hundreds of entries start, against none
/// after a change, and against any on a small site.
#[test]
fn the_group_is_listed_once_it_has_settled() {
    struct Case {
        name: &'static str,
        /// Time in milliseconds, generation and leases held of 96, for each answer.
        answers: &'static [(u64, u64, u32)],
        /// Times at which the group is listed.
        listed: &'static [u64],
    }
    let cases = [
        Case {
            name: "8 entries",
            answers: &[(0, 1, 96), (1_000, 8, 12), (4_000, 8, 12), (9_000, 8, 12)],
            listed: &[],
        },
        Case {
            name: "a newcomer to 8 entries",
            answers: &[(0, 9, 0), (200, 9, 0), (1_200, 9, 11), (2_200, 9, 12)],
            listed: &[],
        },
        Case {
            name: "9 entries, one holds 11",
            answers: &[(0, 9, 0), (1_000, 9, 11), (2_000, 9, 11), (3_000, 9, 11)],
            listed: &[2_000],
        },
        Case {
            name: "changes every second",
            answers: &[
                (0, 1, 0),
                (1_000, 2, 5),
                (2_000, 3, 5),
                (4_000, 3, 5),
                (5_000, 4, 5),
                (6_000, 5, 5),
                (7_000, 6, 5),
                (8_000, 7, 5),
                (9_000, 8, 5),
                (10_000, 9, 5),
            ],
            listed: &[4_000, 9_000],
        },
        Case {
            name: "the site has shrunk",
            answers: &[(0, 1, 5), (2_000, 1, 5), (3_000, 2, 24), (5_000, 2, 24)],
            listed: &[2_000, 5_000],
        },
    ];
    for case in cases {
        let mut plan = ListingPlan::default();
        let start = Moment::from_millis(100_000);
        let mut listed = Vec::new();
        for (at, generation, held) in case.answers {
            let now = start.saturating_add(std::time::Duration::from_millis(*at));
            if plan.record(DivisionGeneration(*generation), *held, 96, now) {
                plan.record_listing(now);
                listed.push(*at);
            }
        }
        assert_eq!(listed, case.listed, "{}", case.name);
    }
}

/// Guards against a listing that the store refuses and that is repeated at each call.
#[test]
fn failed_listings_are_repeated_more_and_more_rarely() {
    struct Case {
        name: &'static str,
        /// Whether the listing at this number succeeds; `None` if none does.
        succeeds: Option<usize>,
        /// When the group is listed, in seconds.
        listed: &'static [u64],
    }
    let cases = [
        Case {
            name: "never",
            succeeds: None,
            listed: &[2, 4, 8, 16, 32, 64, 128, 192],
        },
        Case {
            name: "at the third",
            succeeds: Some(2),
            listed: &[2, 4, 8],
        },
    ];
    for case in cases {
        let mut plan = ListingPlan::default();
        let start = Moment::from_millis(100_000);
        let mut listed = Vec::new();
        for second in 0..200 {
            let now = start.saturating_add(std::time::Duration::from_secs(second));
            if plan.record(DivisionGeneration(1), 4, 96, now) {
                if case.succeeds == Some(listed.len()) {
                    plan.record_listing(now);
                } else {
                    plan.record_failure(now);
                }
                listed.push(second);
            }
        }
        assert_eq!(listed, case.listed, "{}", case.name);
    }
}
