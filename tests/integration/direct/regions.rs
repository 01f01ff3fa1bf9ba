//! Regions in which requests may be executed.

use std::sync::Arc;

use hyper::Method;
use quetzalworks::balance::Query;
use quetzalworks::catalog::AllowedRegions;
use quetzalworks::direct::EndpointView;
use serde_json::json;

use crate::direct::balance::{NOW, chosen, endpoint, query};
use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::from_list(names.iter().map(|name| name.parse().unwrap()).collect())
}

/// Guards against a request that is executed outside of its regions, and against a far
/// endpoint where a near one is allowed.
#[test]
fn endpoints_are_chosen_within_the_regions() {
    struct Case {
        name: &'static str,
        route: &'static [&'static str],
        team: &'static [&'static str],
        chosen: Option<&'static str>,
    }
    let case = |name, route, team, chosen| Case {
        name,
        route,
        team,
        chosen,
    };
    let cases = [
        case("no constraint: the own region", &[], &[], Some("near")),
        case("the route's region", &["west"], &[], Some("far")),
        case("the team's region", &[], &["west"], Some("far")),
        case("both bind", &["east", "west"], &["west"], Some("far")),
        case("no region in common", &["east"], &["west"], None),
        case("no endpoint there", &["south"], &[], None),
        case(
            "an unknown region is none of these",
            &["east"],
            &[],
            Some("near"),
        ),
    ];
    let placed = |id, region: Option<&str>| {
        Arc::new(EndpointView {
            region: region.map(|name| name.parse().unwrap()),
            ..Arc::unwrap_or_clone(endpoint(id, id))
        })
    };
    let endpoints = [
        placed("far", Some("west")),
        placed("lost", None),
        placed("near", Some("east")),
    ];
    let domain = "elsewhere".parse().unwrap();
    let own = "east".parse().unwrap();
    for case in cases {
        let allowed = regions(case.route).and(&regions(case.team));
        let query = Query {
            regions: &allowed,
            region: Some(&own),
            ..query(&domain, None, NOW)
        };
        let found = chosen(&endpoints, &query);
        assert_eq!(found.as_deref(), case.chosen, "{}", case.name);
    }
}

/// Guards against regions that are configured and not heeded, and against a request that
/// waits although no endpoint may execute it.
#[test]
fn configured_regions_hold_for_requests() {
    struct Case {
        name: &'static str,
        route: &'static [&'static str],
        team: &'static [&'static str],
        status: u16,
    }
    let cases = [
        Case {
            name: "no constraint",
            route: &[],
            team: &[],
            status: 200,
        },
        Case {
            name: "the region of the endpoint",
            route: &["region"],
            team: &["region", "mainland"],
            status: 200,
        },
        Case {
            name: "another region of the route",
            route: &["mainland"],
            team: &[],
            status: 503,
        },
        Case {
            name: "another region of the team",
            route: &[],
            team: &["mainland"],
            status: 503,
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("a", &[], Behaviour::Answer(200, "good"));
        let mut config = config(1);
        for route in config["Routes"].as_array_mut().unwrap() {
            route["AllowedRegions"] = json!(case.route);
        }
        config["Tenants"][0]["AllowedRegions"] = json!(case.team);
        let site = Site::with_config(&[("desk", &desk)], &config);
        let answer = site.call(&Method::GET, "/look/x", "id-1").unwrap();
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert_eq!(
            desk.received().len(),
            usize::from(case.status == 200),
            "{}",
            case.name
        );
        let told = answer.header("retry-after").is_some();
        assert_eq!(
            told,
            case.status == 503,
            "{}: told when to return",
            case.name
        );
    }
}
