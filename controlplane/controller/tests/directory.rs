//! The balancers that the directory returns to clients, by the state of their region and by the
//! configuration.
//!
//! Two balancers run in the region `north` (zones a and b), one in `south` (zone c) and one in `west`, whose
//! zone is missing in the settings of the controllers.

mod common;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};
use whinspindle_distribution::Report;

const NO_HOME_REGIONS: &str = "free.example";
const NORTH_AND_SOUTH: &str = "north-and-south.example";
const SOUTH_ONLY: &str = "south-alone.example";
const NO_COMMON_HOME_REGION: &str = "nowhere.example";
const UNKNOWN: &str = "unknown.example";

const NORTH_A: u8 = 1;
const NORTH_B: u8 = 2;
const SOUTH: u8 = 3;
const WEST: u8 = 4;
const ALL: [u8; 4] = [NORTH_A, NORTH_B, SOUTH, WEST];

/// Region and zone of a client.
type ClientLocation = (&'static str, &'static str);
const FROM_NORTH: ClientLocation = ("north", "zone-a");
const FROM_SOUTH: ClientLocation = ("south", "zone-c");
const FROM_WEST: ClientLocation = ("west", "zone-w");
const FROM_UNKNOWN: ClientLocation = ("", "");

fn balancer(number: u8) -> Report {
    let (zone, region) = match number {
        NORTH_A => ("zone-a", "north"),
        NORTH_B => ("zone-b", "north"),
        SOUTH => ("zone-c", "south"),
        _ => ("zone-w", "west"),
    };
    Report { zone: zone.to_owned(), region: region.to_owned(), ..report(number, "zone-a") }
}

/// A command for a configuration with one route for each pair of host and home regions.
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
        (NO_HOME_REGIONS, &[]),
        (NORTH_AND_SOUTH, &["north", "south"]),
        (NORTH_AND_SOUTH, &[]),
        (SOUTH_ONLY, &["north", "south"]),
        (SOUTH_ONLY, &["south", "west"]),
        (NO_COMMON_HOME_REGION, &["north"]),
        (NO_COMMON_HOME_REGION, &["south"]),
    ];
    replace_routes(base, generation, &routes)
}

/// Parses the numbers of the balancers in a response; none if the directory refuses to answer.
fn returned_balancers(answer: &Response) -> Vec<u8> {
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

fn ask(single: &mut Single, host: &str, (region, zone): ClientLocation) -> Vec<u8> {
    let id = single.call(resolve_host(host, region, zone));
    returned_balancers(single.answer(id).expect("a question is answered at once"))
}

fn shutting_down(number: u8) -> Report {
    Report { shutting_down: true, ..balancer(number) }
}

fn not_ready(number: u8) -> Report {
    Report { ready: false, ..balancer(number) }
}

/// A controller with these balancers running, while the others shut down.
fn with_balancers(running: &[u8]) -> Single {
    with_balancers_and(running, shutting_down)
}

/// A controller with these balancers running, while the others send a different report.
fn with_balancers_and(running: &[u8], others: fn(u8) -> Report) -> Single {
    let mut single = Single::in_quorum();
    for number in ALL {
        let report = if running.contains(&number) { balancer(number) } else { others(number) };
        single.report(u64::from(number), report);
    }
    single
}

#[test]
fn clients_are_directed_to_their_own_region_and_the_regions_of_their_host_only() {
    let cases: [(&[u8], ClientLocation, &str, &[u8]); 28] = [
        // All balancers run. Two of the region are enough; a region with one gets another if the host allows
        // it.
        (&ALL, FROM_NORTH, NO_HOME_REGIONS, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_NORTH, SOUTH_ONLY, &[NORTH_A, NORTH_B]),
        (&ALL, FROM_SOUTH, SOUTH_ONLY, &[SOUTH]),
        // A host of another region is served there; with one balancer there, the client's region is the
        // reserve.
        (&ALL, FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B, SOUTH]),
        (&[NORTH_A, SOUTH, WEST], FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, SOUTH]),
        (&ALL, FROM_WEST, SOUTH_ONLY, &[WEST, SOUTH]),
        (&ALL, FROM_WEST, NO_COMMON_HOME_REGION, &[WEST]),
        (&ALL, FROM_UNKNOWN, NO_HOME_REGIONS, &ALL),
        (&ALL, FROM_UNKNOWN, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B, SOUTH]),
        (&ALL, FROM_UNKNOWN, NO_COMMON_HOME_REGION, &[]),
        // One balancer of the region is running.
        (&[NORTH_A, SOUTH, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A, SOUTH]),
        (&[NORTH_A, SOUTH, WEST], FROM_NORTH, SOUTH_ONLY, &[NORTH_A, SOUTH]),
        (&[NORTH_A, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[NORTH_A]),
        (&[NORTH_A, WEST], FROM_NORTH, NO_HOME_REGIONS, &[NORTH_A, WEST]),
        (&[NORTH_B, SOUTH, WEST], FROM_NORTH, NO_COMMON_HOME_REGION, &[NORTH_B]),
        // No balancer of the region is running.
        (&[SOUTH, WEST], FROM_NORTH, NO_HOME_REGIONS, &[SOUTH, WEST]),
        (&[SOUTH, WEST], FROM_NORTH, NORTH_AND_SOUTH, &[SOUTH]),
        (&[SOUTH, WEST], FROM_NORTH, SOUTH_ONLY, &[SOUTH]),
        (&[SOUTH, WEST], FROM_NORTH, NO_COMMON_HOME_REGION, &[]),
        (&[NORTH_A, NORTH_B], FROM_WEST, NORTH_AND_SOUTH, &[NORTH_A, NORTH_B]),
        (&[NORTH_A, NORTH_B], FROM_WEST, SOUTH_ONLY, &[]),
        // No balancer runs in the client's or the host's regions: no answer, rather than one in another
        // region.
        (&[WEST], FROM_NORTH, NO_HOME_REGIONS, &[WEST]),
        (&[WEST], FROM_NORTH, NORTH_AND_SOUTH, &[]),
        (&[WEST], FROM_SOUTH, SOUTH_ONLY, &[]),
        // The host is not in the configuration.
        (&ALL, FROM_NORTH, UNKNOWN, &[NORTH_A, NORTH_B]),
        (&[NORTH_B, SOUTH, WEST], FROM_NORTH, UNKNOWN, &[NORTH_B]),
        (&[SOUTH, WEST], FROM_NORTH, UNKNOWN, &[]),
    ];
    for (running, from, host, expected) in cases {
        for others in [shutting_down, not_ready] {
            let mut single = with_balancers_and(running, others);
            assert_eq!(single.status(replace_hosts(0, 3)), StatusCode::OK);
            let case = format!("{running:?} running, a client of {host} from {from:?}");
            assert_eq!(ask(&mut single, host, from), expected, "{case}");
        }
    }
}

/// Checks every set of lost balancers and every kind of loss: no balancer outside of the permitted regions is
/// returned.
#[test]
fn lost_balancers_never_direct_clients_out_of_their_regions() {
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
                    (SOUTH_ONLY, &["south"]),
                    (NO_COMMON_HOME_REGION, &[]),
                ] {
                    let permitted = |number: &u8| {
                        let region = balancer(*number).region;
                        region == from.0 || homes.contains(&region.as_str())
                    };
                    let returned = ask(&mut single, host, from);
                    assert!(
                        returned.iter().all(permitted),
                        "{lost:04b} lost: {host} from {from:?} gets {returned:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn without_a_configuration_clients_stay_in_their_region() {
    let mut single = with_balancers(&[NORTH_A, NORTH_B, SOUTH]);
    assert_eq!(ask(&mut single, NO_HOME_REGIONS, FROM_NORTH), [NORTH_A, NORTH_B]);
    assert_eq!(ask(&mut single, NO_HOME_REGIONS, FROM_SOUTH), [SOUTH]);
    assert!(ask(&mut single, NO_HOME_REGIONS, FROM_WEST).is_empty(), "another controller may know more");
}

#[test]
fn acknowledged_change_of_home_regions_is_effective_at_once() {
    let mut single = with_balancers(&[NORTH_A, SOUTH, WEST]);
    assert_eq!(
        single.status(replace_routes(0, 1, &[(NO_HOME_REGIONS, &["north", "south"])])),
        StatusCode::OK
    );
    assert_eq!(ask(&mut single, NO_HOME_REGIONS, FROM_NORTH), [NORTH_A, SOUTH]);
    assert_eq!(single.status(replace_routes(1, 2, &[(NO_HOME_REGIONS, &["north", "west"])])), StatusCode::OK);
    assert_eq!(ask(&mut single, NO_HOME_REGIONS, FROM_NORTH), [NORTH_A, WEST]);
    assert_eq!(single.status(replace_routes(2, 3, &[(UNKNOWN, &[])])), StatusCode::OK);
    assert_eq!(ask(&mut single, NO_HOME_REGIONS, FROM_NORTH), [NORTH_A], "a host whose routes were removed");
}

#[test]
fn hosts_with_a_port_are_recognized() {
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
            fleet.ask(endpoint(3), question).map_or_else(Vec::new, |answer| returned_balancers(&answer))
        };
        assert_eq!(
            ask(&mut fleet, NORTH_AND_SOUTH),
            [NORTH_A, NORTH_B, SOUTH],
            "a host without a home region here"
        );
        assert!(ask(&mut fleet, NO_HOME_REGIONS).contains(&WEST), "a host without home regions");
    }
}

/// The command goes to one controller and the reports to another one; one controller restarts, and one
/// restarts with an empty disk.
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
                let returned = fleet
                    .ask(endpoint(at), question)
                    .map_or_else(Vec::new, |answer| returned_balancers(&answer));
                assert!(!returned.contains(&WEST), "controller {at} returns {returned:?} to {zone}");
                answers[usize::from(at) - 1] += usize::from(returned == [NORTH_A, SOUTH]);
            }
        }
    }
    assert!(answers.iter().all(|&count| count > 5), "every controller answers completely: {answers:?}");
}

/// More balancers than fit into a response.
const BALANCER_COUNT: u8 = 200;
const MAX_RETURNED: usize = 64;

fn southern(number: u8) -> Report {
    Report { zone: "zone-c".to_owned(), region: "south".to_owned(), ..report(number, "zone-c") }
}

#[test]
fn zones_spread_over_more_balancers_than_fit_into_a_response() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(replace_routes(0, 1, &[(SOUTH_ONLY, &["south"])])), StatusCode::OK);
    for number in 1..=BALANCER_COUNT {
        single.report(u64::from(number), southern(number));
    }
    let zones =
        ["zone-a", "zone-b", "zone-d", "zone-e", "zone-f", "zone-g", "zone-h", "zone-i", "zone-j", "zone-k"];
    let mut zone_counts = vec![0; usize::from(BALANCER_COUNT) + 1];
    for zone in zones {
        let returned = ask(&mut single, SOUTH_ONLY, ("north", zone));
        assert_eq!(returned.len(), MAX_RETURNED, "{zone}");
        assert_eq!(ask(&mut single, SOUTH_ONLY, ("north", zone)), returned, "clients keep their connections");
        returned.iter().for_each(|&number| zone_counts[usize::from(number)] += 1);
        let stopped = returned[0];
        single.report(u64::from(stopped), Report { shutting_down: true, ..southern(stopped) });
        let after = ask(&mut single, SOUTH_ONLY, ("north", zone));
        let kept = returned.iter().filter(|number| after.contains(number)).count();
        assert_eq!((kept, after.len()), (MAX_RETURNED - 1, MAX_RETURNED), "{zone}: one balancer is replaced");
        single.report(u64::from(stopped), southern(stopped));
    }
    let used = zone_counts.iter().filter(|&&zones| zones > 0).count();
    assert!(used > 180, "ten zones get {used} of {BALANCER_COUNT} balancers");
    assert!(
        zone_counts.iter().all(|&zones| zones <= 9),
        "no balancer is returned to all zones: {zone_counts:?}"
    );
}
