//! Tables of cases: the route of a request, ties between routes, and invalid patterns.

mod common;

use common::route;
use whinspindle_routes::pattern::{Pattern, PatternError};
use whinspindle_routes::{Lookup, Route, RouteTable, Tie};

fn routes() -> Vec<Route> {
    vec![
        route("all", None, "/*", None, None),
        route("api", None, "/api", None, None),
        route("api-below", None, "/api/*", None, None),
        route("orders", None, "/api/orders/*", None, None),
        route("item", None, "/api/orders/{id}/items", None, None),
        route("post-item", Some("POST"), "/api/orders/{id}/items", None, None),
        route("product", None, "/api/orders/new", Some(1), None),
        route("tenant", None, "/api/orders/new", None, Some(2)),
        route("both", None, "/api/orders/new", Some(1), Some(2)),
        route("deep", None, "/a/{x}/c", None, None),
        route("literal", None, "/a/b/d", None, None),
    ]
}

#[test]
fn most_specific_route_wins() {
    let table = RouteTable::new(routes());
    let cases: &[(&str, &str, usize, usize, Option<&str>)] = &[
        ("GET", "/", 0, 0, Some("all")),
        ("GET", "/api", 0, 0, Some("api")),
        ("GET", "/api/", 0, 0, Some("api-below")),
        ("GET", "/api?x=/orders/1/items", 0, 0, Some("api")),
        ("GET", "/api/orders", 0, 0, Some("orders")),
        ("GET", "/api/orders/7", 0, 0, Some("orders")),
        ("GET", "/api/orders/7/items", 0, 0, Some("item")),
        ("POST", "/api/orders/7/items", 0, 0, Some("post-item")),
        ("GET", "/api/orders/7/items/9", 0, 0, Some("orders")),
        ("GET", "/api/orders/new", 1, 0, Some("product")),
        ("GET", "/api/orders/new", 0, 2, Some("tenant")),
        ("GET", "/api/orders/new", 1, 2, Some("both")),
        ("GET", "/api/orders/new", 0, 0, Some("orders")),
        // A literal without a complete match doesn't hide a parameter beside it.
        ("GET", "/a/b/c", 0, 0, Some("deep")),
        ("GET", "/a/b/d", 0, 0, Some("literal")),
        // An escape never matches the literal that it may stand for.
        ("GET", "/%61pi", 0, 0, Some("all")),
        ("GET", "/a/%62/c", 0, 0, Some("deep")),
        ("GET", "/api/orders/%2F/items", 0, 0, Some("item")),
        ("GET", "/API", 0, 0, Some("all")),
        // A path that a server may resolve to another one has no route.
        ("GET", "/api/../admin", 0, 0, None),
        ("GET", "/api/%2e%2E/admin", 0, 0, None),
        ("GET", "/api/./orders", 0, 0, None),
        ("GET", "api", 0, 0, None),
        ("GET", "", 0, 0, None),
    ];
    for (method, target, product, tenant, expected) in cases {
        let lookup = Lookup { method, target, product: *product, tenant: *tenant };
        let found = table.find(&lookup).map(|number| table.routes()[number].name.as_str());
        assert_eq!(found, *expected, "{method} {target}, product {product}, tenant {tenant}");
    }
}

#[test]
fn order_in_the_file_does_not_matter() {
    let (forward, mut backward) = (routes(), routes());
    backward.reverse();
    let (forward, backward) = (RouteTable::new(forward), RouteTable::new(backward));
    for target in
        ["/", "/api", "/api/x", "/api/orders/new", "/api/orders/1/items", "/a/b/c", "/a/b/d", "/q/q"]
    {
        for (method, product, tenant) in [("GET", 0, 0), ("POST", 1, 0), ("GET", 1, 2), ("GET", 0, 2)] {
            let lookup = Lookup { method, target, product, tenant };
            let name = |table: &RouteTable| table.find(&lookup).map(|n| table.routes()[n].name.clone());
            assert_eq!(name(&forward), name(&backward), "{method} {target} {product} {tenant}");
        }
    }
}

#[test]
fn ties_are_reported() {
    let cases: &[(Vec<Route>, &[Tie])] = &[
        (routes(), &[]),
        (
            vec![route("a", None, "/x/{id}", None, None), route("b", None, "/x/{name}", None, None)],
            &[Tie { first: 0, second: 1 }],
        ),
        (
            vec![route("a", None, "/x/*", Some(1), None), route("b", None, "/x/*", Some(1), None)],
            &[Tie { first: 0, second: 1 }],
        ),
        (vec![route("a", None, "/x", None, None), route("b", None, "/x/*", None, None)], &[]),
        (vec![route("a", Some("GET"), "/x", None, None), route("b", Some("PUT"), "/x", None, None)], &[]),
    ];
    for (routes, expected) in cases {
        let names: Vec<String> = routes.iter().map(|route| route.name.clone()).collect();
        assert_eq!(RouteTable::new(routes.clone()).ties(), *expected, "{names:?}");
    }
}

#[test]
fn invalid_patterns_are_refused_with_an_error() {
    let cases = [
        ("/", Ok("/")),
        ("/*", Ok("/*")),
        ("/a/{id}/b", Ok("/a/{id}/b")),
        ("/a/b/*", Ok("/a/b/*")),
        ("a", Err(PatternError::NoSlash)),
        ("", Err(PatternError::NoSlash)),
        ("/a//b", Err(PatternError::EmptySegment)),
        ("/a/", Err(PatternError::EmptySegment)),
        ("/a/../b", Err(PatternError::DotSegment)),
        ("/a/%2e", Err(PatternError::Character('%'))),
        ("/a?b", Err(PatternError::Character('?'))),
        ("/a b", Err(PatternError::Character(' '))),
        ("/ä", Err(PatternError::Character('ä'))),
        ("/{}", Err(PatternError::Braces)),
        ("/a{id}", Err(PatternError::Braces)),
        ("/{i d}", Err(PatternError::Braces)),
        ("/*/a", Err(PatternError::MisplacedStar)),
        ("/a*", Err(PatternError::MisplacedStar)),
    ];
    for (text, expected) in cases {
        let parsed = Pattern::parse(text).map(|pattern| pattern.to_string());
        assert_eq!(parsed, expected.map(str::to_string), "{text}");
    }
    assert_eq!(Pattern::parse(&"/a".repeat(33)), Err(PatternError::TooLong));
}

#[test]
fn tree_lookup_agrees_with_a_linear_search() {
    let mut bits = 7u64;
    let mut random_below = |n: usize| {
        bits = bits.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (bits >> 33) as usize % n
    };
    let words = ["a", "b", "c", "{x}"];
    let mut routes = Vec::new();
    for n in 0..2_000 {
        let mut path: String = (0..random_below(6)).map(|_| format!("/{}", words[random_below(4)])).collect();
        if random_below(2) == 0 || path.is_empty() {
            path.push_str("/*");
        }
        let method = [None, Some("GET"), Some("POST")][random_below(3)];
        let product = (random_below(2) == 0).then(|| random_below(3));
        routes.push(route(&n.to_string(), method, &path, product, None));
    }
    let table = RouteTable::new(routes);
    for _ in 0..5_000 {
        let target: String =
            (0..random_below(7)).map(|_| format!("/{}", ["a", "b", "c", "d"][random_below(4)])).collect();
        let target = if target.is_empty() { "/".to_string() } else { target };
        let (method, product) = (["GET", "POST"][random_below(2)], random_below(3));
        let lookup = Lookup { method, target: &target, product, tenant: 0 };
        let found = table.find(&lookup);
        let matches = |route: &Route| {
            route.matches.path.matches(&target)
                && route.matches.method.as_deref().is_none_or(|m| m == method)
                && route.matches.product.is_none_or(|p| p == product)
        };
        assert_eq!(found.is_some(), table.routes().iter().any(matches), "{method} {target}");
        assert!(found.is_none_or(|number| matches(&table.routes()[number])), "{method} {target}");
    }
}
