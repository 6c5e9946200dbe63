//! Tests of the serving regions of hosts.

use quickcheck::quickcheck;
use whinspindle_configuration::{Configuration, HostRegions, ServingRegions};

const EXAMPLE: &str = include_str!("data/configuration.json");

/// Returns a configuration with the given routes, each a host and its home regions.
fn configuration(routes: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (host, home_regions))| {
            format!(
                r#"{{"name":"r{index}","host":"{host}","path_prefix":"/p{index}/","kind":"safe","timeout_ms":1,"backend":"s","home_regions":{home_regions:?}}}"#
            )
        })
        .collect();
    format!(r#"{{"generation":1,"services":[{{"name":"s"}}],"routes":[{}]}}"#, routes.join(","))
}

fn parse(text: &str) -> HostRegions {
    HostRegions::new(&Configuration::parse(text.as_bytes()).expect("the configuration is valid"))
}

fn only(regions: &[&str]) -> Option<ServingRegions> {
    Some(ServingRegions::Only(regions.iter().map(|&region| region.to_owned()).collect()))
}

#[test]
fn host_without_home_regions_is_served_in_any_region() {
    let regions = parse(&configuration(&[("shop.example", &[]), ("shop.example", &[])]));
    assert_eq!(regions.serving_regions("shop.example"), Some(&ServingRegions::Any));
    assert!(regions.serving_regions("shop.example").is_some_and(|regions| regions.contains("anywhere")));
}

#[test]
fn host_is_served_in_the_common_home_regions_of_its_routes() {
    let routes: [(&str, &[&str]); 5] = [
        ("shop.example", &["north", "south"]),
        ("shop.example", &[]),
        ("shop.example", &["south", "west"]),
        ("desk.example", &["north"]),
        ("desk.example", &["south"]),
    ];
    let regions = parse(&configuration(&routes));
    assert_eq!(regions.serving_regions("shop.example").cloned(), only(&["south"]));
    assert_eq!(regions.serving_regions("desk.example").cloned(), only(&[]), "the home regions are disjoint");
    assert_eq!(regions.serving_regions("other.example"), None);
}

#[test]
fn hosts_are_compared_without_port_and_case() {
    let regions = parse(&configuration(&[("Shop.example:8443", &["north"])]));
    assert_eq!(regions.serving_regions("shop.EXAMPLE").cloned(), only(&["north"]));
    assert_eq!(regions.serving_regions("shop.example:80").cloned(), only(&["north"]));
}

#[test]
fn example_hosts_are_served_in_their_home_regions_only() {
    let configuration = Configuration::parse(EXAMPLE.as_bytes()).unwrap();
    let regions = parse(EXAMPLE);
    for route in &configuration.routes {
        let serving_regions = regions.serving_regions(&route.host).expect("the host has a route");
        let home_regions = &route.home_regions;
        let unnamed_region = "a region that no route names";
        assert_eq!(
            serving_regions.contains(unnamed_region),
            configuration.routes.iter().all(|other| other.home_regions.is_empty())
        );
        assert!(home_regions.is_empty() || !serving_regions.contains(unnamed_region));
    }
}

quickcheck! {
    /// A region serves a host exactly if each route of the host has this home region or no home regions.
    fn home_regions_of_two_routes_are_intersected(first: Vec<u8>, second: Vec<u8>) -> bool {
        let names =
            |ids: &[u8]| -> Vec<String> { ids.iter().map(|id| format!("r{}", id % 5)).collect() };
        let (first, second) = (names(&first), names(&second));
        let static_names = |names: &[String]| -> Vec<&'static str> {
            names
                .iter()
                .map(|name| ["r0", "r1", "r2", "r3", "r4"][usize::from(name.as_bytes()[1] - b'0')])
                .collect()
        };
        let text = configuration(&[("h", &static_names(&first)), ("h", &static_names(&second))]);
        let regions = parse(&text);
        let allows =
            |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        (0..6).map(|number| format!("r{number}")).all(|region| {
            let expected = allows(&first, &region) && allows(&second, &region);
            regions.serving_regions("h").unwrap().contains(&region) == expected
        })
    }
}
