//! The serving regions of hosts, compared with their routes.

use quickcheck::quickcheck;
use whinspindle_configuration::{Configuration, HostRegions, ServingRegions};

const EXAMPLE: &str = include_str!("data/configuration.json");

/// A configuration with these routes: host and home regions.
fn configuration(routes: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (host, homes))| {
            format!(
                r#"{{"name":"r{index}","host":"{host}","path_prefix":"/p{index}/","kind":"safe","timeout_ms":1,"backend":"s","home_regions":{homes:?}}}"#
            )
        })
        .collect();
    format!(r#"{{"generation":1,"services":[{{"name":"s"}}],"routes":[{}]}}"#, routes.join(","))
}

fn parse(text: &str) -> HostRegions {
    HostRegions::new(&Configuration::parse(text.as_bytes()).expect("an operator may put this in place"))
}

fn only(regions: &[&str]) -> Option<ServingRegions> {
    Some(ServingRegions::Only(regions.iter().map(|&region| region.to_owned()).collect()))
}

#[test]
fn host_without_home_regions_is_served_everywhere() {
    let regions = parse(&configuration(&[("shop.example", &[]), ("shop.example", &[])]));
    assert_eq!(regions.serving_regions("shop.example"), Some(&ServingRegions::Any));
    assert!(regions.serving_regions("shop.example").is_some_and(|regions| regions.contains("anywhere")));
}

#[test]
fn a_host_is_served_where_each_of_its_routes_is() {
    let routes: [(&str, &[&str]); 5] = [
        ("shop.example", &["north", "south"]),
        ("shop.example", &[]),
        ("shop.example", &["south", "west"]),
        ("desk.example", &["north"]),
        ("desk.example", &["south"]),
    ];
    let regions = parse(&configuration(&routes));
    assert_eq!(regions.serving_regions("shop.example").cloned(), only(&["south"]));
    assert_eq!(regions.serving_regions("desk.example").cloned(), only(&[]), "homes that exclude each other");
    assert_eq!(regions.serving_regions("other.example"), None);
}

#[test]
fn hosts_are_compared_without_port_and_case() {
    let regions = parse(&configuration(&[("Shop.example:8443", &["north"])]));
    assert_eq!(regions.serving_regions("shop.EXAMPLE").cloned(), only(&["north"]));
    assert_eq!(regions.serving_regions("shop.example:80").cloned(), only(&["north"]));
}

#[test]
fn every_host_of_the_example_is_known() {
    let whole = Configuration::parse(EXAMPLE.as_bytes()).unwrap();
    let regions = parse(EXAMPLE);
    for route in &whole.routes {
        let allowed = regions.serving_regions(&route.host).expect("the host has a route");
        let homes = &route.home_regions;
        let elsewhere = "a region that no route names";
        assert_eq!(
            allowed.contains(elsewhere),
            whole.routes.iter().all(|other| other.home_regions.is_empty())
        );
        assert!(homes.is_empty() || !allowed.contains(elsewhere));
    }
}

quickcheck! {
    /// No region is allowed that any route with homes forbids, and none is missing that all allow.
    fn home_regions_of_two_routes_are_intersected(first: Vec<u8>, second: Vec<u8>) -> bool {
        let names = |homes: &[u8]| -> Vec<String> { homes.iter().map(|home| format!("r{}", home % 5)).collect() };
        let (first, second) = (names(&first), names(&second));
        let borrowed = |homes: &[String]| -> Vec<&'static str> {
            homes.iter().map(|home| ["r0", "r1", "r2", "r3", "r4"][usize::from(home.as_bytes()[1] - b'0')]).collect()
        };
        let text = configuration(&[("h", &borrowed(&first)), ("h", &borrowed(&second))]);
        let regions = parse(&text);
        let allows = |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        (0..6).map(|number| format!("r{number}")).all(|region| {
            let expected = allows(&first, &region) && allows(&second, &region);
            regions.serving_regions("h").unwrap().contains(&region) == expected
        })
    }
}
