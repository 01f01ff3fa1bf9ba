//! Replays of loads on a plain service whose places run short.

use crate::direct::room::crowd::{Arrival, Crowd, Health, Load, Outcome, Policy};

/// Number of the team that sends more than usual.
const HOT: usize = 99;
/// Draws of the endpoints and entries.
const SEEDS: [u64; 2] = [11, 12];

/// Returns arrivals of `teams` teams at `rate` requests a second each, over these times.
fn arrivals(seed: u64, parts: &[(u64, u64, usize, f64)]) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for &(from, until, team, rate) in parts {
        let mut at = from;
        while at < until {
            let gap = -rng.f64().max(1e-9).ln() * 1_000.0 / rate;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let gap = gap as u64;
            at += gap;
            all.push(Arrival { at, team });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Teams with the same rate over a time.
fn teams(count: usize, from: u64, until: u64, rate: f64) -> Vec<(u64, u64, usize, f64)> {
    (0..count).map(|team| (from, until, team, rate)).collect()
}

/// Adds a team at eight times the rate of the others.
fn one_hot(mut parts: Vec<(u64, u64, usize, f64)>) -> Vec<(u64, u64, usize, f64)> {
    parts.push((0, 6_000, HOT, 8.0 * 25.0));
    parts
}

const fn up(_: usize, _: u64) -> Health {
    Health::Up(1)
}

const fn slow_dead_and_flapping(endpoint: usize, now: u64) -> Health {
    match (endpoint, (now / 1_000) % 2) {
        (0, _) => Health::Up(3),
        (1, _) | (2, 1) => Health::Down,
        _ => Health::Up(1),
    }
}

const fn gone_at_first(_: usize, now: u64) -> Health {
    if now < 2_000 {
        Health::Gone
    } else {
        Health::Up(1)
    }
}

const fn gone_twice(_: usize, now: u64) -> Health {
    match now {
        0..2_000 | 2_200..5_000 => Health::Gone,
        _ => Health::Up(1),
    }
}

fn shown_figures(outcome: &Outcome, in_time: f64) -> String {
    let Outcome {
        turned_away,
        in_vain,
        ..
    } = outcome;
    let credit = outcome.credit();
    format!(
        "{in_time:.3} in time, credit {credit:.0}, {turned_away} turned away, {in_vain} in vain"
    )
}

/// Guards against requests that are sent to full endpoints again and again and refused while
/// a place is about to be left, and against callers that return in vain.
#[test]
fn short_places_go_round_and_full_endpoints_are_spared() {
    struct Case {
        name: &'static str,
        load: Load,
        /// Share of the requests of the usual teams that must be answered in time.
        min_in_time: f64,
        /// Credit, requests that endpoints turn away and callers that return in vain, against
        /// those of sending at once.
        min_credit: f64,
        max_turned_away: f64,
        max_in_vain: f64,
    }
    let load = |parts: &[_], endpoints, queue, health, until| Load {
        arrivals: arrivals(7, parts),
        endpoints,
        queue,
        health,
        until,
    };
    let cases = [
        Case {
            name: "a team at eight times its usual",
            load: load(&one_hot(teams(20, 0, 6_000, 25.0)), 3, 3, up, 8_000),
            min_in_time: 0.85,
            min_credit: 1.0,
            max_turned_away: 0.2,
            max_in_vain: 1.1,
        },
        Case {
            name: "a burst of 2.2 on a third fewer endpoints",
            load: load(&teams(20, 0, 6_000, 22.0), 2, 3, up, 8_000),
            min_in_time: 0.7,
            min_credit: 0.95,
            max_turned_away: 0.4,
            max_in_vain: 1.1,
        },
        Case {
            name: "a burst of 2.2 on a third fewer endpoints with long queues",
            load: load(&teams(20, 0, 6_000, 22.0), 2, 23, up, 8_000),
            min_in_time: 0.8,
            min_credit: 0.95,
            max_turned_away: 0.5,
            max_in_vain: 1.1,
        },
        Case {
            name: "one slow, one dead and one flapping",
            load: load(
                &teams(20, 0, 6_000, 6.0),
                3,
                3,
                slow_dead_and_flapping,
                8_000,
            ),
            min_in_time: 0.65,
            min_credit: 0.97,
            max_turned_away: 0.6,
            max_in_vain: 1.1,
        },
        Case {
            name: "all callers are back after an outage",
            load: load(&teams(20, 0, 4_000, 15.0), 3, 3, gone_at_first, 6_000),
            min_in_time: 0.45,
            min_credit: 1.1,
            max_turned_away: 1.0,
            max_in_vain: 0.5,
        },
        Case {
            name: "returning callers are met by a second shortage",
            load: load(&teams(20, 0, 6_000, 15.0), 3, 3, gone_twice, 8_000),
            min_in_time: 0.15,
            min_credit: 1.1,
            max_turned_away: 1.0,
            max_in_vain: 0.5,
        },
    ];
    for (case, seed) in cases.iter().flat_map(|case| SEEDS.map(|seed| (case, seed))) {
        let run = |policy| Crowd::run(&case.load, policy, seed);
        let (before, after) = (run(Policy::AtOnce), run(Policy::Room));
        let in_time = |outcome: &Outcome| outcome.in_time(|i| case.load.arrivals[i].team != HOT);
        let shown = format!(
            "{}, seed {seed}: {}; at once {}",
            case.name,
            shown_figures(&after, in_time(&after)),
            shown_figures(&before, in_time(&before))
        );
        println!("{shown}");
        let count = |count: usize| f64::from(u32::try_from(count).unwrap());
        let is_less = |after, before, factor: f64| count(after) <= count(before) * factor;
        let (away, away_before) = (after.turned_away, before.turned_away);
        let (vain, vain_before) = (after.in_vain, before.in_vain);
        assert!(in_time(&after) >= case.min_in_time, "{shown}");
        assert!(
            after.credit() >= before.credit() * case.min_credit,
            "{shown}"
        );
        assert!(is_less(away, away_before, case.max_turned_away), "{shown}");
        assert!(is_less(vain, vain_before, case.max_in_vain), "{shown}");
    }
}
