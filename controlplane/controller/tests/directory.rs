//! The balancers that clients are directed to, in each state of their region and of the configuration.
//!
//! Two balancers run in the region `north` (zones a and b), one in `south` (zone c) and one in `west`, whose zone is
//! missing in the settings of the controllers.

mod common;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};
use whinspindle_distribution::Report;

const FREE: &str = "free.example";
const NORTH_AND_SOUTH: &str = "north-and-south.example";
const SOUTH_ALONE: &str = "south-alone.example";
const NOWHERE: &str = "nowhere.example";
const UNKNOWN: &str = "unknown.example";

const NORTH_A: u8 = 1;
const NORTH_B: u8 = 2;
const SOUTH: u8 = 3;
const WEST: u8 = 4;
const ALL: [u8; 4] = [NORTH_A, NORTH_B, SOUTH, WEST];

/// Region and zone of a client.
type From = (&'static str, &'static str);
const FROM_NORTH: From = ("north", "zone-a");
const FROM_SOUTH: From = ("south", "zone-c");
const FROM_WEST: From = ("west", "zone-w");
const FROM_NOWHERE: From = ("", "");

fn balancer(number: u8) -> Report {
    let (zone, region) = match number {
        NORTH_A => ("zone-a", "north"),
        NORTH_B => ("zone-b", "north"),
        SOUTH => ("zone-c", "south"),
        _ => ("zone-w", "west"),
    };
    Report { zone: zone.to_owned(), region: region.to_owned(), ..report(number, "zone-a") }
}

/// Replaces the configuration by one with a route for each of these hosts and home regions.
fn replace_routes(base: u64, generation: u64, routes: &[(&str, &[&str])]) -> Call {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (host, homes))| {
            format!(
                r#"{{"name":"r{index}","host":"{host}","path_prefix":"/p{index}/","kind":"safe","timeout_ms":900,"backend":"desk","home_regions":{homes:?}}}"#
            )
        })
        .collect();
    let routes = routes.join(",");
    let body = format!(r#"{{"generation":{generation},"routes":[{routes}],"services":[{{"name":"desk"}}]}}"#);
    Call::Replace { base, generation, body: Bytes::from(body) }
}

fn replace_hosts(base: u64, generation: u64) -> Call {
    let routes: [(&str, &[&str]); 7] = [
        (FREE, &[]),
        (NORTH_AND_SOUTH, &["north", "south"]),
        (NORTH_AND_SOUTH, &[]),
        (SOUTH_ALONE, &["north", "south"]),
        (SOUTH_ALONE, &["south", "west"]),
        (NOWHERE, &["north"]),
        (NOWHERE, &["south"]),
    ];
    replace_routes(base, generation, &routes)
}

/// The numbers of the balancers that an answer names; none for a refusal.
fn named(answer: &Response) -> Vec<u8> {
    if answer.status != StatusCode::OK {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        return Vec::new();
    }
    let text = std::str::from_utf8(&answer.body).unwrap();
    let list =
        text.strip_prefix("{\"addrs\":[").and_then(|rest| rest.strip_suffix("],\"ttl_s\":2}")).unwrap();
    let numbers = list.split(',').map(|address| {
        let host = address.trim_matches('"').strip_suffix(":8161").unwrap();
        host.strip_prefix("10.1.0.").unwrap().parse().unwrap()
    });
    numbers.collect()
}

fn ask(single: &mut Single, host: &str, (region, zone): From) -> Vec<u8> {
    let id = single.call(resolve_host(host, region, zone));
    named(single.answer(id).expect("a question is answered at once"))
}

fn shutting_down(number: u8) -> Report {
    Report { shutting_down: true, ..balancer(number) }
}

fn not_ready(number: u8) -> Report {
    Report { ready: false, ..balancer(number) }
}

/// A controller that knows of these balancers; the others leave by plan.
fn with_balancers(staying: &[u8]) -> Single {
    with_balancers_and(staying, shutting_down)
}

/// A controller that knows of these balancers; the others report something else.
fn with_balancers_and(staying: &[u8], others: fn(u8) -> Report) -> Single {
    let mut single = Single::in_quorum();
    for number in ALL {
        let report = if staying.contains(&number) { balancer(number) } else { others(number) };
        single.report(u64::from(number), report);
    }
    single
}

#[test]
fn clients_are_directed_to_their_own_region_and_the_regions_of_their_host_only() {
    let cases: [(&[u8], From, &str, &[u8]); 28] = [
        // All run: two of the region are enough; a region of one has another in reserve, where the host allows it.
        (&ALL, FROM_NORTH, FREE, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_NORTH, SOUTH_ALONE, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_SOUTH, SOUTH_ALONE, &[SOUTH]),
        // A host of another region is reached there; with one balancer there, those of the own region are in reserve.
        (&ALL, FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B, SOUTH]),
        (&[NORTH_A, SOUTH, WEST], FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, SOUTH]),
        (&ALL, FROM_WEST, SOUTH_ALONE, &[WEST, SOUTH]),
        (&ALL, FROM_WEST, NOWHERE, &[WEST]),
        (&ALL, FROM_NOWHERE, FREE, &ALL),
        (&ALL, FROM_NOWHERE, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B, SOUTH]),
        (&ALL, FROM_NOWHERE, NOWHERE, &[]),
        // One of the region is left.
        (&[NORTH_A, SOUTH, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A, SOUTH]),
        (&[NORTH_A, SOUTH, WEST], FROM_NORTH, SOUTH_ALONE, &[NORTH_A, SOUTH]),
        (&[NORTH_A, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A]),
        (&[NORTH_A, WEST], FROM_NORTH, FREE, &[NORTH_A, WEST]),
        (&[NORTH_B, SOUTH, WEST], FROM_NORTH, NOWHERE, &[NORTH_B]),
        // None of the region is left.
        (&[SOUTH, WEST], FROM_NORTH, FREE, &[SOUTH, WEST]),
        (&[SOUTH, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[SOUTH]),
        (&[SOUTH, WEST], FROM_NORTH, SOUTH_ALONE, &[SOUTH]),
        (&[SOUTH, WEST], FROM_NORTH, NOWHERE, &[]),
        (&[NORTH_A, NORTH_B], FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B]),
        (&[NORTH_A, NORTH_B], FROM_WEST, SOUTH_ALONE, &[]),
        // None is left in the region and the host's regions: no answer, rather than one that leads elsewhere.
        (&[WEST], FROM_NORTH, FREE, &[WEST]),
        (&[WEST], FROM_NORTH, NORTH_AND_SOUTH, &[]),
        (&[WEST], FROM_SOUTH, SOUTH_ALONE, &[]),
        // A host that is not in the configuration.
        (&ALL, FROM_NORTH, UNKNOWN, &[NORTH_A, NORTH_B]),
        (&[NORTH_B, SOUTH, WEST], FROM_NORTH, UNKNOWN, &[NORTH_B]),
        (&[SOUTH, WEST], FROM_NORTH, UNKNOWN, &[]),
    ];
    for (staying, from, host, expected) in cases {
        for others in [shutting_down, not_ready] {
            let mut single = with_balancers_and(staying, others);
            assert_eq!(single.status(replace_hosts(0, 3)), StatusCode::OK);
            let case = format!("{staying:?} stay, a client of {host} from {from:?}");
            assert_eq!(ask(&mut single, host, from), expected, "{case}");
        }
    }
}

/// Whatever the reason for which balancers are missing, and whichever are: nothing outside is named.
#[test]
fn no_loss_directs_clients_out_of_their_regions() {
    let losses: [fn(u8) -> Option<Report>; 3] =
        [|number| Some(shutting_down(number)), |number| Some(not_ready(number)), |_| None];
    for (lost, loss) in (0..16_u8).flat_map(|lost| losses.map(|loss| (lost, loss))) {
        let mut single = with_balancers(&ALL);
        assert_eq!(single.status(replace_hosts(0, 3)), StatusCode::OK);
        for _ in 0..10 {
            for (position, number) in ALL.into_iter().enumerate() {
                let is_lost = lost & (1 << position) != 0;
                let report = if is_lost { loss(number) } else { Some(balancer(number)) };
                if let Some(report) = report {
                    single.report(u64::from(number), report);
                }
            }
            single.pass(300);
            for from in [FROM_NORTH, FROM_SOUTH, FROM_WEST] {
                for (host, homes) in [
                    (NORTH_AND_SOUTH, ["north", "south"].as_slice()),
                    (SOUTH_ALONE, &["south"]),
                    (NOWHERE, &[]),
                ] {
                    let permitted = |number: &u8| {
                        let region = balancer(*number).region;
                        region == from.0 || homes.contains(&region.as_str())
                    };
                    let told = ask(&mut single, host, from);
                    assert!(
                        told.iter().all(permitted),
                        "{lost:04b} lost: {host} from {from:?} gets {told:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn without_a_configuration_clients_stay_in_their_region() {
    let mut single = with_balancers(&[NORTH_A, NORTH_B, SOUTH]);
    assert_eq!(ask(&mut single, FREE, FROM_NORTH), [NORTH_A, NORTH_B]);
    assert_eq!(ask(&mut single, FREE, FROM_SOUTH), [SOUTH]);
    assert!(ask(&mut single, FREE, FROM_WEST).is_empty(), "another controller may know more");
}

#[test]
fn change_of_home_regions_holds_from_its_acknowledgement_on() {
    let mut single = with_balancers(&[NORTH_A, SOUTH, WEST]);
    assert_eq!(single.status(replace_routes(0, 1, &[(FREE, &["north", "south"])])), StatusCode::OK);
    assert_eq!(ask(&mut single, FREE, FROM_NORTH), [NORTH_A, SOUTH]);
    assert_eq!(single.status(replace_routes(1, 2, &[(FREE, &["north", "west"])])), StatusCode::OK);
    assert_eq!(ask(&mut single, FREE, FROM_NORTH), [NORTH_A, WEST]);
    assert_eq!(single.status(replace_routes(2, 3, &[(UNKNOWN, &[])])), StatusCode::OK);
    assert_eq!(ask(&mut single, FREE, FROM_NORTH), [NORTH_A], "a host whose routes were removed");
}

#[test]
fn hosts_with_a_port_are_known() {
    let mut single = with_balancers(&[NORTH_A, SOUTH, WEST]);
    assert_eq!(single.status(replace_hosts(0, 3)), StatusCode::OK);
    assert_eq!(ask(&mut single, "North-And-South.example:8443", FROM_NORTH), [NORTH_A, SOUTH]);
}

#[test]
fn partitioned_controller_directs_clients_to_the_last_known_home_regions() {
    let mut fleet = Fleet::start(22, 3);
    assert_eq!(fleet.complete(replace_hosts(0, 3), 3_000).status, StatusCode::OK);
    for _ in 0..5 {
        for number in [NORTH_A, NORTH_B, SOUTH] {
            fleet.report(endpoint(2), u64::from(number), balancer(number));
        }
        fleet.report(endpoint(3), u64::from(WEST), balancer(WEST));
        fleet.pass(200);
    }
    for other in [1, 2] {
        fleet.cluster.cut(endpoint(3), endpoint(other));
        fleet.cluster.cut(endpoint(other), endpoint(3));
    }
    for _ in 0..30 {
        fleet.report(endpoint(3), u64::from(WEST), balancer(WEST));
        fleet.pass(200);
        let ask = |fleet: &mut Fleet, host| {
            let question = resolve_host(host, "west", "zone-w");
            fleet.ask(endpoint(3), question).map_or_else(Vec::new, |answer| named(&answer))
        };
        assert_eq!(
            ask(&mut fleet, NORTH_AND_SOUTH),
            [NORTH_A, NORTH_B, SOUTH],
            "a host that is not at home here"
        );
        assert!(ask(&mut fleet, FREE).contains(&WEST), "a host that is served here");
    }
}

/// The command goes to one controller and the reports to others; one restarts and one comes back with an empty disk.
#[test]
fn every_controller_respects_the_home_regions_at_all_times() {
    let mut fleet = Fleet::start(21, 3);
    assert_eq!(fleet.complete(replace_hosts(0, 3), 3_000).status, StatusCode::OK);
    let keep_alive = |fleet: &mut Fleet| {
        for number in [NORTH_A, SOUTH, WEST] {
            fleet.report(endpoint(2), u64::from(number), balancer(number));
        }
    };
    keep_alive(&mut fleet);
    fleet.pass(500);
    fleet.restart(endpoint(1));
    fleet.cluster.stop(endpoint(3));
    fleet.wipe(endpoint(3));
    fleet.cluster.start(endpoint(3));
    let mut answers = [0; 3];
    for _ in 0..25 {
        keep_alive(&mut fleet);
        fleet.pass(200);
        for at in 1..=3 {
            for zone in ["zone-a", "zone-b"] {
                let question = resolve_host(NORTH_AND_SOUTH, "north", zone);
                let told = fleet.ask(endpoint(at), question).map_or_else(Vec::new, |answer| named(&answer));
                assert!(!told.contains(&WEST), "controller {at} names {told:?} to {zone}");
                answers[usize::from(at) - 1] += usize::from(told == [NORTH_A, SOUTH]);
            }
        }
    }
    assert!(answers.iter().all(|&count| count > 5), "all come to answer in full: {answers:?}");
}

/// More balancers than an answer may name.
const MANY: u8 = 200;
const MOST_NAMED: usize = 64;

fn southern(number: u8) -> Report {
    Report { zone: "zone-c".to_owned(), region: "south".to_owned(), ..report(number, "zone-c") }
}

#[test]
fn zones_share_balancers_of_which_there_are_more_than_an_answer_names() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(replace_routes(0, 1, &[(SOUTH_ALONE, &["south"])])), StatusCode::OK);
    for number in 1..=MANY {
        single.report(u64::from(number), southern(number));
    }
    let zones =
        ["zone-a", "zone-b", "zone-d", "zone-e", "zone-f", "zone-g", "zone-h", "zone-i", "zone-j", "zone-k"];
    let mut clients_zones = vec![0; usize::from(MANY) + 1];
    for zone in zones {
        let told = ask(&mut single, SOUTH_ALONE, ("north", zone));
        assert_eq!(told.len(), MOST_NAMED, "{zone}");
        assert_eq!(ask(&mut single, SOUTH_ALONE, ("north", zone)), told, "clients keep their connections");
        told.iter().for_each(|&number| clients_zones[usize::from(number)] += 1);
        let gone = told[0];
        single.report(u64::from(gone), Report { shutting_down: true, ..southern(gone) });
        let after = ask(&mut single, SOUTH_ALONE, ("north", zone));
        let kept = told.iter().filter(|number| after.contains(number)).count();
        assert_eq!((kept, after.len()), (MOST_NAMED - 1, MOST_NAMED), "{zone}: one goes, one comes");
        single.report(u64::from(gone), southern(gone));
    }
    let reached = clients_zones.iter().filter(|&&zones| zones > 0).count();
    assert!(reached > 180, "ten zones name {reached} of {MANY} balancers");
    assert!(clients_zones.iter().all(|&zones| zones <= 9), "none is named to all zones: {clients_zones:?}");
}
