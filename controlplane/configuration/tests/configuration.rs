//! Tests of parsing and validating the operator's configuration, and of looking up routes.

use std::fmt::Write;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use whinspindle_configuration::{
    Backend, Configuration, ConfigurationError, Engine, JsonError, Limits, Route, RouteKind, Service,
};

const EXAMPLE: &str = include_str!("data/configuration.json");

fn parse(text: &str) -> Result<Configuration, ConfigurationError> {
    Configuration::parse(text.as_bytes())
}

/// Parses the example with one part of its text replaced.
fn parse_changed(from: &str, to: &str) -> Result<Configuration, ConfigurationError> {
    assert_eq!(EXAMPLE.matches(from).count(), 1, "`{from}` isn't unique in the example");
    parse(&EXAMPLE.replace(from, to))
}

fn error_of_change(from: &str, to: &str) -> ConfigurationError {
    parse_changed(from, to).expect_err("the change makes the configuration invalid")
}

fn json_error_of_change(from: &str, to: &str) -> JsonError {
    match error_of_change(from, to) {
        ConfigurationError::Unreadable { source } => source,
        error => panic!("not a JSON error: {error}"),
    }
}

fn configuration_with_routes(routes: &[(&str, &str)]) -> Result<Configuration, ConfigurationError> {
    let mut text = String::from(r#"{"generation":1,"services":[{"name":"s"}],"routes":["#);
    for (index, (host, prefix)) in routes.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        write!(
            text,
            r#"{comma}{{"name":"r{index}","host":"{host}","path_prefix":"{prefix}","kind":"safe","timeout_ms":1,"backend":"s"}}"#
        )
        .expect("writing to a string never fails");
    }
    text.push_str("]}");
    parse(&text)
}

#[test]
fn every_field_is_parsed() {
    let configuration = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(configuration.generation, 7);
    assert_eq!(
        configuration.routes[0],
        Route {
            name: "draft".to_owned(),
            host: "shop.example".to_owned(),
            path_prefix: "/draft/".to_owned(),
            kind: RouteKind::Streaming,
            timeout_ms: 6000,
            target_ms: 1000,
            priority: 2,
            backends: vec![Backend { service: 0, weight: 90.0 }, Backend { service: 1, weight: 10.0 }],
            retries: 2,
            sticky: true,
            resumable: true,
            gap_aim_ms: Some(300),
            home_regions: vec![],
        }
    );
    assert_eq!(configuration.routes[1].backends, [Backend { service: 0, weight: 1.0 }]);
    assert_eq!(configuration.routes[1].home_regions, ["north", "south"]);
    assert_eq!(
        configuration.services[0],
        Service {
            name: "chat".to_owned(),
            health_path: "/health".to_owned(),
            max_conns: 610,
            cold_s: 3.5,
            cold_per_s: 9.9,
            engine: Some(Engine { slots: 128, kv_capacity: 180_000, stride: 4 }),
        }
    );
    assert_eq!(configuration.services[1].engine, None);
    assert_eq!(
        configuration.limits,
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_001,
            idle_timeout_ms: 15_000,
        }
    );
}

#[test]
fn optional_keys_may_be_absent_or_null() {
    let configuration = configuration_with_routes(&[("h", "/a/")]).expect("only required keys");
    let route = &configuration.routes[0];
    assert_eq!((route.target_ms, route.priority, route.retries), (1, 0, 1));
    assert_eq!((route.sticky, route.resumable, route.gap_aim_ms), (false, false, None));
    assert_eq!(configuration.services[0].max_conns, u32::MAX);
    assert_eq!(configuration.services[0].health_path, "/healthz");
    assert_eq!(configuration.limits, Limits::default());

    let with_nulls = parse_changed(r#""gap_aim_ms": 301"#, r#""gap_aim_ms": null, "split": null"#);
    assert_eq!(with_nulls.expect("null stands for an absent key").routes[1].gap_aim_ms, None);
}

#[test]
fn unknown_keys_of_any_kind_are_skipped() {
    let added =
        r#""generation": 7, "new": {"a": [1, {"b": "}]\""}, []], "c": -1.5e3}, "n": null, "t": [true, {}],"#;
    assert_eq!(parse_changed(r#""generation": 7,"#, added), parse(EXAMPLE));
}

#[test]
fn escapes_in_strings_are_decoded() {
    let escaped = parse_changed("/query/", r"\/quer\u0079\t\ud83d\ude00\u00e9/").expect("valid escapes");
    assert_eq!(escaped.routes[1].path_prefix, "/query\t😀é/");
}

#[test]
fn integers_with_a_zero_fraction_are_accepted() {
    let configuration =
        parse_changed(r#""timeout_ms": 6000"#, r#""timeout_ms": 6000.0"#).expect("a whole number");
    assert_eq!(configuration.routes[0].timeout_ms, 6000);
}

#[test]
fn unknown_services_are_refused() {
    let backend = error_of_change(r#""backend": "chat", "retries""#, r#""backend": "gone", "retries""#);
    let unknown = |route: &str| ConfigurationError::UnknownService {
        route: route.to_owned(),
        service: "gone".to_owned(),
    };
    assert_eq!(backend, unknown("query"));
    let split = error_of_change(r#""desk", "weight": 10"#, r#""gone", "weight": 0"#);
    assert_eq!(split, unknown("draft"));
}

#[test]
fn routes_need_either_a_backend_or_a_split() {
    let route = "query".to_owned();
    let key = r#""backend": "chat", "retries""#;
    assert_eq!(error_of_change(key, r#""retries""#), ConfigurationError::NoBackend { route: route.clone() });
    let empty_split = error_of_change(key, r#""split": [], "retries""#);
    assert_eq!(empty_split, ConfigurationError::NoBackend { route: route.clone() });
    let backend_and_split = r#""backend": "chat", "split": [{"backend": "chat", "weight": 1}], "retries""#;
    assert_eq!(error_of_change(key, backend_and_split), ConfigurationError::BackendAndSplit { route });
}

#[test]
fn weights_must_have_a_positive_sum() {
    let zero_weights = parse(
        &EXAMPLE.replace(r#""weight": 90"#, r#""weight": 0"#).replace(r#""weight": 10"#, r#""weight": 0.0"#),
    );
    let route = "draft".to_owned();
    assert_eq!(zero_weights, Err(ConfigurationError::InvalidTotalWeight { route, total: 0.0 }));
    for weight in ["-1", "-0.5", "1e999"] {
        let error = error_of_change(r#""weight": 10"#, &format!(r#""weight": {weight}"#));
        assert!(matches!(error, ConfigurationError::InvalidWeight { .. }), "{error}");
    }
    let configuration = parse_changed(r#""weight": 10"#, r#""weight": 0"#).expect("one weight is enough");
    assert_eq!(configuration.routes[0].backends[1].weight, 0.0);
}

#[test]
fn zero_timeouts_are_refused() {
    let error = error_of_change(r#""timeout_ms": 6000"#, r#""timeout_ms": 0"#);
    assert_eq!(error, ConfigurationError::ZeroTimeout { route: "draft".to_owned() });
    assert_eq!(
        json_error_of_change(r#""timeout_ms": 6000"#, r#""timeout_ms": -1"#).key(),
        Some("timeout_ms")
    );
}

#[test]
fn routes_that_share_host_and_prefix_are_refused() {
    let result =
        configuration_with_routes(&[("h.example", "/a/"), ("h.example", "/b/"), ("H.example:80", "/a/")]);
    let error =
        ConfigurationError::DuplicateRoute { first_route: "r0".to_owned(), second_route: "r2".to_owned() };
    assert_eq!(result, Err(error));
    assert!(
        configuration_with_routes(&[("a.example", "/a/"), ("b.example", "/a/"), ("a.example", "/a/a/")])
            .is_ok()
    );
}

#[test]
fn services_that_share_a_name_are_refused() {
    let error = error_of_change(r#""name": "desk""#, r#""name": "chat""#);
    assert_eq!(error, ConfigurationError::DuplicateServiceName { service: "chat".to_owned() });
}

#[test]
fn unknown_kinds_are_refused() {
    let result = parse(&EXAMPLE.replace(r#""kind": "streaming""#, r#""kind": "Streaming""#));
    let (route, kind) = ("draft".to_owned(), "Streaming".to_owned());
    assert_eq!(result, Err(ConfigurationError::UnknownKind { route, kind }));
}

#[test]
fn errors_name_missing_required_keys() {
    for (key, from) in [
        ("generation", r#""generation": 7,"#),
        ("path_prefix", r#""path_prefix": "/query/","#),
        ("kind", r#""kind": "streaming", "timeout_ms": 6000,"#),
        ("timeout_ms", r#""timeout_ms": 15000,"#),
    ] {
        assert_eq!(json_error_of_change(from, "").key(), Some(key));
    }
}

#[test]
fn errors_name_keys_with_values_of_the_wrong_type() {
    for (key, from, to) in [
        ("generation", r#""generation": 7,"#, r#""generation": "7","#),
        ("generation", r#""generation": 7,"#, r#""generation": 7.5,"#),
        ("generation", r#""generation": 7,"#, r#""generation": 99999999999999999999,"#),
        ("retries", r#""retries": 2"#, r#""retries": -2"#),
        ("resumable", r#""resumable": true"#, r#""resumable": 1"#),
        ("engine", r#""engine": {"slots": 128, "kv_capacity": 180000, "stride": 4}"#, r#""engine": [3]"#),
        ("home_regions", r#"["north", "south"]"#, r#"["north", 3]"#),
    ] {
        assert_eq!(json_error_of_change(from, to).key(), Some(key), "{to}");
    }
}

#[test]
fn errors_name_line_and_column() {
    let error = parse("{\"generation\": 1,\n \"routes\": [}").expect_err("cut short");
    let source = JsonError::Syntax { expected: "a value", line: 2, column: 13 };
    assert_eq!(error, ConfigurationError::Unreadable { source });
    assert!(error.to_string().contains("line 2, column 13"));
}

#[test]
fn every_proper_prefix_of_a_document_is_refused() {
    let document = EXAMPLE.trim_end();
    for length in 0..document.len() {
        assert!(parse(&document[..length]).is_err(), "the first {length} bytes were accepted");
    }
}

#[test]
fn malformed_json_is_refused() {
    for text in [
        "",
        " ",
        "null",
        "[]",
        "{",
        "{}",
        "{]",
        "{\"a\":}",
        "{\"a\":[",
        "{\"a\":{\"b\":[{",
        "{\"a\"",
        "{a:1}",
        "{\"a\":01}",
        "{\"a\":1.}",
        "{\"a\":.5}",
        "{\"a\":+1}",
        "{\"a\":1e}",
        "{\"a\":tru}",
        "{\"a\":nulll}",
        "{\"a\":\"\\x\"}",
        "{\"a\":\"\\u12\"}",
        "{\"a\":\"\u{1}\"}",
        "{\"a\":\"b",
        "{\"a\":1,}",
        "{\"a\":[1,]}",
        "{,}",
        "{\"a\" 1}",
        "\u{0}",
    ] {
        assert!(parse(text).is_err(), "`{text}` was accepted");
    }
    for text in
        [format!("{EXAMPLE}{{}}"), format!("{EXAMPLE}x"), format!("{EXAMPLE}\0"), format!("/**/{EXAMPLE}")]
    {
        assert!(parse(&text).is_err(), "`{text}` was accepted");
    }
    assert!(Configuration::parse(&[b'"', 0xff, b'"']).is_err());
    assert!(parse(&format!("\n{EXAMPLE}\r\n\t ")).is_ok());
}

#[test]
fn nesting_depth_is_bounded() {
    for depth in [129, 100_000] {
        let nested = format!(
            r#"{{"generation":1,"routes":[],"services":[],"x":{}{}}}"#,
            "[".repeat(depth),
            "]".repeat(depth)
        );
        assert!(parse(&nested).is_err(), "depth {depth} was accepted");
    }
    let nested =
        format!(r#"{{"generation":1,"routes":[],"services":[],"x":{}{}}}"#, "[".repeat(100), "]".repeat(100));
    assert!(parse(&nested).is_ok());
}

#[test]
fn route_with_the_longest_matching_prefix_is_found() {
    let configuration = configuration_with_routes(&[
        ("h", "/a/"),
        ("h", "/a/b/"),
        ("h", "/é/"),
        ("other", "/"),
        ("other", "/a/b/c/"),
    ])
    .expect("no two routes share a prefix");
    let find = |host: &str, path: &str| configuration.find_route(host, path);
    assert_eq!(find("h", "/a/"), Some(0));
    assert_eq!(find("h", "/a/x"), Some(0));
    assert_eq!(find("h", "/a/b"), Some(0));
    assert_eq!(find("h", "/a/b/"), Some(1));
    assert_eq!(find("h", "/a/b/c/d"), Some(1));
    assert_eq!(find("h", "/é/1"), Some(2));
    assert_eq!(find("h", "/"), None);
    assert_eq!(find("h", "/a"), None);
    assert_eq!(find("h", "/A/"), None);
    assert_eq!(find("h", ""), None);
    assert_eq!(find("h", "/aé"), None);
    assert_eq!(find("other", "/anything"), Some(3));
    assert_eq!(find("other", "/a/b/c/d"), Some(4));
    assert_eq!(find("unknown", "/a/"), None);
}

#[test]
fn host_lookup_ignores_case_and_port() {
    let configuration =
        configuration_with_routes(&[("Mixed.Example:80", "/"), ("[2001:DB8::1]:8080", "/")]).expect("valid");
    for host in ["mixed.example", "MIXED.EXAMPLE", "mixed.example:8443", "mixed.example:"] {
        assert_eq!(configuration.find_route(host, "/x"), Some(0), "{host}");
    }
    for host in ["[2001:db8::1]", "[2001:db8::1]:1"] {
        assert_eq!(configuration.find_route(host, "/x"), Some(1), "{host}");
    }
    assert_eq!(configuration.find_route("mixed.example.", "/x"), None);
    assert_eq!(configuration.find_route("", "/x"), None);
}

/// A short path over a small alphabet, so that prefixes overlap.
#[derive(Clone, Debug)]
struct Path(String);

impl Arbitrary for Path {
    fn arbitrary(generator: &mut Gen) -> Self {
        let segments = usize::arbitrary(generator) % 5;
        let mut path = String::from("/");
        for _ in 0..segments {
            path.push_str(generator.choose(&["a", "b", "ab", "é"]).expect("not empty"));
            path.push('/');
        }
        Path(path)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().filter(|path| path.starts_with('/')).map(Path))
    }
}

#[test]
fn route_lookup_matches_linear_search() {
    fn property(prefixes: Vec<Path>, path: Path, append_suffix: bool) -> TestResult {
        let mut prefixes: Vec<&str> = prefixes.iter().map(|prefix| prefix.0.as_str()).collect();
        prefixes.sort_unstable();
        prefixes.dedup();
        let routes: Vec<(&str, &str)> = prefixes.iter().map(|&prefix| ("h", prefix)).collect();
        let Ok(configuration) = configuration_with_routes(&routes) else { return TestResult::failed() };
        let path = if append_suffix { format!("{}rest", path.0) } else { path.0 };
        let matching = (0..prefixes.len()).filter(|&index| path.starts_with(prefixes[index]));
        let longest = matching.max_by_key(|&index| prefixes[index].len());
        TestResult::from_bool(configuration.find_route("h", &path) == longest)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Path>, Path, bool) -> TestResult);
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        Configuration::parse(&bytes).is_err()
    }
    QuickCheck::new().tests(10_000).quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Replaces a range of bytes at one position of a document.
#[derive(Clone, Debug)]
struct Mutation {
    position: usize,
    removed_bytes: usize,
    inserted: Vec<u8>,
}

impl Arbitrary for Mutation {
    fn arbitrary(generator: &mut Gen) -> Self {
        const PIECES: [&[u8]; 14] = [
            b"", b"{", b"}", b"[", b"]", b",", b":", b"\"", b"\\", b"null", b"-1", b"1e9", b"true", b"\"x\":",
        ];
        let inserted = if bool::arbitrary(generator) {
            generator.choose(&PIECES).expect("not empty").to_vec()
        } else {
            vec![u8::arbitrary(generator)]
        };
        Mutation {
            position: usize::arbitrary(generator),
            removed_bytes: usize::arbitrary(generator) % 12,
            inserted,
        }
    }
}

#[test]
fn mutated_documents_never_panic() {
    fn property(mutations: Vec<Mutation>) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for mutation in mutations.iter().take(4) {
            let start = mutation.position % (bytes.len() + 1);
            let end = (start + mutation.removed_bytes).min(bytes.len());
            bytes.splice(start..end, mutation.inserted.iter().copied());
        }
        if let Ok(configuration) = Configuration::parse(&bytes) {
            for route in &configuration.routes {
                assert!(route.timeout_ms > 0);
                assert!(route.backends.iter().all(|backend| backend.service < configuration.services.len()));
                assert!(configuration.find_route(&route.host, &route.path_prefix).is_some());
            }
        }
        true
    }
    QuickCheck::new().tests(20_000).quickcheck(property as fn(Vec<Mutation>) -> bool);
}
