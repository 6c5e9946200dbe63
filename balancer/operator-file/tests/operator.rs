//! Tables of invalid files, each refused at the expected line, and of valid files with their values.

mod common;

use common::deployment;
use whinspindle_operator_file::{
    MAX_BODY_BYTES, OperatorConfig, PartitionPolicy, parse, parse_policy, render_faults,
};
use whinspindle_routes::RetryOn;
use whinspindle_toml_config::ConfigError;

fn errors(text: &str) -> Vec<ConfigError> {
    parse(text, &deployment()).err().unwrap_or_default()
}

/// The lines of a route after its name, the number of the line with the error (the name is in line 2), the
/// field, and a part of the message.
type InvalidRoute = (&'static str, usize, &'static str, &'static str);

const INVALID_ROUTES: &[InvalidRoute] = &[
    // Invalid syntax and values.
    ("tme = \"1s\"", 3, "tme", "no such key"),
    ("time = 1", 3, "time", "bare integer"),
    ("time = \"1\"", 3, "time", "no unit"),
    ("time = \"1 fortnight\"", 3, "time", "unknown unit"),
    ("time = \"0s\"", 3, "time", "is zero"),
    ("time = \"-1s\"", 3, "time", "does not begin with a number"),
    ("time = \"1s\"\ntime = \"2s\"", 4, "", "duplicate key"),
    ("time = \"9999999999999999d\"", 3, "time", "too large"),
    ("execution-time = true", 3, "execution-time", "is a bare boolean"),
    ("execution-time = \"0ms\"", 3, "execution-time", "is zero"),
    ("executions = 0", 3, "executions", "outside"),
    ("executions = \"2\"", 3, "executions", "is a string"),
    ("executions = 99999999999999999999", 3, "executions", "outside"),
    ("executions = 2.5", 3, "executions", "is a float"),
    ("spread = -0.5", 3, "spread", "outside"),
    ("spread = inf", 3, "spread", "no number"),
    ("budget = \"20%\"", 3, "budget", "no number"),
    ("budget = -1", 3, "budget", "outside"),
    ("wait = \"20\"", 3, "wait", "no unit"),
    ("largest-body = \"64kB\"", 3, "largest-body", "unknown unit"),
    ("repeat-after = \"error\"", 3, "repeat-after", "is a string"),
    ("repeat-after = [\"sometimes\"]", 3, "repeat-after[0]", "is not an outcome"),
    ("second-copy = \"soon\"", 3, "second-copy", "neither a time nor a quantile"),
    ("second-copy = \"p100\"", 3, "second-copy", "neither a time nor a quantile"),
    ("second-copy = \"p10\"", 3, "second-copy", "neither a time nor a quantile"),
    ("servers = 3", 3, "servers", "is a integer"),
    ("servers = { zone = \"a\" }", 3, "servers.zone", "no such key"),
    ("servers = { repeats = \"near\" }", 3, "servers.repeats", "not known"),
    ("servers = { zones = [] }", 3, "servers.zones", "is empty, so that no server"),
    // Invalid conditions of the match.
    ("path = \"orders\"", 3, "path", "slash"),
    ("path = \"/a/../b\"", 3, "path", "segment of dots"),
    ("path = \"/a//b\"", 3, "path", "empty segment"),
    ("path = \"/a%2Fb\"", 3, "path", "'%'"),
    ("path = \"/a?b=c\"", 3, "path", "'?'"),
    ("path = \"/*/b\"", 3, "path", "star"),
    ("path = \"/{a\"", 3, "path", "braces"),
    ("method = \"get\"", 3, "method", "not known"),
    ("method = \"PUT\"", 3, "method", "not known"),
    ("product = \"cheese\"", 3, "product", "settings have no"),
    ("tenant = \"nobody\"", 3, "tenant", "settings have no"),
    ("method = \"GET\"\nproduct = \"order\"", 3, "method", "no request can match"),
    ("servers = { zones = [\"a\", \"z\"] }", 3, "servers.zones[1]", "settings have no"),
    ("servers = { kinds = [\"x\"] }", 3, "servers.kinds[0]", "settings have no"),
    // Times that break rule 1.
    ("time = \"3s\"", 3, "time", "rule 1"),
    ("time = \"2995001us\"", 3, "time", "rule 1"),
    ("time = \"1s\"\nexecution-time = \"1000001us\"\nexecutions = 1", 4, "execution-time", "rule 1"),
    // Retries that break rule 2.
    ("executions = 5\nexecution-time = \"100ms\"", 3, "executions", "rule 2"),
    (
        "product = \"pay\"\nexecution-time = \"500ms\"\nrepeat-after = [\"error\"]",
        5,
        "repeat-after",
        "rule 2",
    ),
    (
        "product = \"pay\"\nexecution-time = \"500ms\"\nrepeat-after = [\"broken\"]",
        5,
        "repeat-after",
        "rule 2",
    ),
    (
        "product = \"pay\"\nexecution-time = \"500ms\"\nrepeat-after = [\"timed-out\"]",
        5,
        "repeat-after",
        "rule 2",
    ),
    ("product = \"pay\"\nsecond-copy = \"100ms\"\nexecution-time = \"500ms\"", 4, "second-copy", "rule 2"),
    ("product = \"read\"\nsecond-copy = \"100ms\"\nexecution-time = \"500ms\"", 4, "second-copy", "rule 2"),
    ("product = \"read\"\nsecond-copy = \"p95\"\nexecution-time = \"500ms\"", 4, "second-copy", "rule 2"),
    ("product = \"brief\"\nexecution-time = \"690ms\"\nexecutions = 2", 4, "execution-time", "rule 2"),
    (
        "product = \"brief\"\nexecution-time = \"300ms\"\nexecutions = 2\nwait = \"390ms\"",
        4,
        "execution-time",
        "rule 2",
    ),
    ("product = \"brief\"\nexecution-time = \"300ms\"\nexecutions = 4", 4, "execution-time", "rule 2"),
    (
        "product = \"order\"\nexecution-time = \"500ms\"\nservers = { repeats = \"zone\" }",
        5,
        "servers",
        "rule 2",
    ),
    (
        "product = \"order\"\nexecution-time = \"500ms\"\nservers = { repeats = \"anywhere\" }",
        5,
        "servers",
        "rule 2",
    ),
    // Values that are too large or can't take effect.
    ("largest-body = \"65KiB\"", 3, "largest-body", "where the deployment takes"),
    (
        "executions = 1\nrepeat-after = [\"error\"]\nproduct = \"read\"",
        3,
        "executions",
        "no execution is left",
    ),
    ("time = \"500ms\"\nexecution-time = \"400ms\"\nexecutions = 4", 5, "executions", "only 2 can be sent"),
];

#[test]
fn each_invalid_route_is_refused_at_its_line() {
    assert!(INVALID_ROUTES.len() >= 50);
    for (lines, line, field, message) in INVALID_ROUTES {
        let text = format!("[[route]]\nname = \"r\"\n{lines}\n");
        let found = errors(&text);
        let found_texts: Vec<String> = found.iter().map(ToString::to_string).collect();
        let field = if field.is_empty() { String::new() } else { format!("route[0].{field}") };
        let matches = |e: &&ConfigError| e.line == *line && e.field == field && e.message.contains(message);
        let error = found.iter().find(matches);
        assert!(error.is_some(), "{lines}: line {line}, {field}, {message} in {found_texts:?}");
        let rendered = render_faults("operator.toml", &text, &found);
        assert!(
            rendered.contains("error: ") && rendered.contains(&format!("operator.toml:{line}:")),
            "{rendered}"
        );
    }
}

#[test]
fn files_with_conflicting_routes_are_refused() {
    let cases = [
        ("[[route]]\nname = \"a\"\n[[route]]\nname = \"b\"\n", 3, "matches the same requests as \"a\""),
        ("[[route]]\nname = \"a\"\n[[route]]\nname = \"a\"\npath = \"/x\"\n", 4, "is used twice"),
        ("[[route]]\npath = \"/x\"\n", 1, "is missing"),
        ("[[rout]]\nname = \"a\"\n", 1, "no such key"),
        ("route = 3\n", 1, "is a integer"),
        ("[[route]\n", 1, ""),
    ];
    for (text, line, message) in cases {
        let found = errors(text);
        let found_texts: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(
            found.iter().any(|e| e.line == line && e.message.contains(message)),
            "{text}: {found_texts:?}"
        );
    }
}

/// A valid file of a fleet's member, of which the cases change lines.
const FLEET: &str = "[fleet]\nname = \"f\"\nvoters = [0]\nsocket = \"s\"\nstore = \"d\"\n";
/// A valid policy, of which the cases change lines.
const LIMITS: &str = "[limits.out]\nbalancers = 1\nservers = 3\nservers-by-zone = 2\n";

#[test]
fn invalid_fleet_settings_are_refused_at_their_lines() {
    let deployment = deployment();
    let own_file = |text: &str| parse(text, &deployment);
    let policy = |text: &str| parse_policy(text, &deployment);
    assert!(
        own_file(FLEET)
            .is_ok_and(|config| config.fleet.is_some_and(|fleet| fleet.renewal_interval_us == 2_000_000))
    );
    assert!(policy(LIMITS).is_ok_and(|policy| policy.limits.servers_per_zone == Some(2)));
    let rejects = policy("[cut-off]\nqueries = \"reject\"\n").expect("good");
    assert!(matches!(rejects.partition_policy, PartitionPolicy::Reject));
    type Parser<'a> = &'a dyn Fn(&str) -> Result<OperatorConfig, Vec<ConfigError>>;
    let cases: [(Parser, &str, &str, &str, usize, &str); 22] = [
        (&own_file, "", "", "", 1, "the file is empty"),
        (&policy, "# being written", "", "", 1, "the file is empty"),
        (&policy, FLEET, "", "", 1, "no such key"),
        (&own_file, LIMITS, "", "", 1, "agreed on by the fleet"),
        (&own_file, FLEET, "voters = [0]", "voters = [0, 1]", 3, "2 voters"),
        (&own_file, FLEET, "voters = [0]", "voters = []", 3, "0 voters"),
        (&own_file, FLEET, "voters = [0]", "voters = [0, 0, 1]", 3, "names a balancer twice"),
        (&own_file, FLEET, "voters = [0]", "voters = [2]", 3, "no such number"),
        (&own_file, FLEET, "voters = [0]", "voters = \"0\"", 3, "is a string"),
        (&own_file, FLEET, "name = \"f\"\n", "", 1, "is missing"),
        (&own_file, FLEET, "store = \"d\"", "", 1, "is missing"),
        (&own_file, FLEET, "store", "right = \"1s\"\npace = \"500ms\"\nstore", 5, "renewed every 500 ms"),
        (&own_file, FLEET, "store", "pace = \"1ms\"\nstore", 5, "times a second"),
        (&own_file, FLEET, "store", "absent = \"3s\"\nstore", 5, "one lost request"),
        (&own_file, FLEET, "store", "drift = 0.5\nstore", 5, "outside"),
        (&own_file, FLEET, "store", "datagram = \"64KiB\"\nstore", 5, "65536 bytes"),
        (
            &own_file,
            FLEET,
            "store = \"d\"\n",
            "store = \"d\"\n[[route]]\nname = \"r\"\n",
            6,
            "agreed on by the fleet",
        ),
        (&policy, LIMITS, "balancers = 1", "balancers = 2", 2, "all 2 balancers"),
        (&policy, LIMITS, "balancers = 1", "balancers = 0", 2, "outside"),
        (&policy, LIMITS, "by-zone = 2", "by-zone = 4", 4, "while 3 in all"),
        (&policy, LIMITS, "servers = 3\n", "", 3, "nothing says how many"),
        (
            &policy,
            "[cut-off]\nqueries = \"reject\"\n[[cut-off.route]]\nname = \"r\"\n",
            "",
            "",
            3,
            "no request takes a route",
        ),
    ];
    for (parser, valid, from, to, line, message) in cases {
        let text = if from.is_empty() { valid.to_string() } else { valid.replacen(from, to, 1) };
        let found = parser(&text).err().unwrap_or_default();
        let found_texts: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(
            found.iter().any(|e| e.line == line && e.message.contains(message)),
            "{text}: {message} in {found_texts:?}"
        );
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "[[route]]\nname = \"a\"\ntime = 3\n[[route]]\nname = \"b\"\npath = \"/x\"\nexecutions = 0\n";
    let lines: Vec<usize> = errors(text).iter().map(|error| error.line).collect();
    assert_eq!(lines, [3, 7]);
}

fn valid(text: &str) -> OperatorConfig {
    parse(text, &deployment())
        .unwrap_or_else(|errors| panic!("{}", render_faults("operator.toml", text, &errors)))
}

#[test]
fn unset_values_default_to_those_without_a_route() {
    let config = valid("[[route]]\nname = \"all\"\n");
    let rows = &config.routes.routes()[0].conditions;
    let all_outcomes = RetryOn { never_ran: true, error: true, broken: true, timed_out: true };
    let never_ran = RetryOn { never_ran: true, ..RetryOn::NONE };
    for (product, executions, retry_on, in_pod) in
        [(0, 1, RetryOn::NONE, false), (2, 1, RetryOn::NONE, false)]
    {
        let row = &rows[product];
        assert_eq!((row.max_executions, row.retry_on), (executions, retry_on), "product {product}");
        assert_eq!(
            (row.servers.retries_in_pod, row.max_body_bytes),
            (in_pod, MAX_BODY_BYTES),
            "product {product}"
        );
    }
    // With a shorter time-out for executions more of them fit.
    let config = valid("[[route]]\nname = \"all\"\nexecution-time = \"500ms\"\n");
    let rows = &config.routes.routes()[0].conditions;
    let expected = [
        (0, 4, all_outcomes, false),
        (1, 4, all_outcomes, true),
        (2, 4, never_ran, false),
        (3, 2, all_outcomes, false),
    ];
    for (product, executions, retry_on, in_pod) in expected {
        let row = &rows[product];
        assert_eq!((row.max_executions, row.retry_on), (executions, retry_on), "product {product}");
        assert_eq!(row.servers.retries_in_pod, in_pod, "product {product}");
    }
}

#[test]
fn example_file_is_valid_for_the_example_settings() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let config = std::fs::read_to_string(root.join("examples/balancer.json")).expect("an example");
    // The settings are the last field of the example.
    let settings = config.split("\"settings\":").nth(1).and_then(|rest| rest.trim_end().strip_suffix('}'));
    let deployment =
        whinspindle_deployment_settings::parse(settings.unwrap_or_default().as_bytes()).expect("settings");
    let text = std::fs::read_to_string(root.join("deploy/operator.toml")).expect("an example");
    let parsed = parse(&text, &deployment);
    assert!(
        parsed.is_ok(),
        "{}",
        parsed.err().map(|errors| render_faults("operator.toml", &text, &errors)).unwrap_or_default()
    );
}

#[test]
fn two_thousand_routes_are_parsed_and_found() {
    let text: String = (0..2_000)
        .map(|n| {
            format!("[[route]]\nname = \"r{n}\"\npath = \"/s{}/{{id}}/p{n}/*\"\ntime = \"1s\"\n", n % 50)
        })
        .collect();
    let config = valid(&text);
    let lookup = whinspindle_routes::Lookup { method: "GET", target: "/s7/x/p1007/y", product: 0, tenant: 9 };
    let found = config.routes.find(&lookup).map(|number| config.routes.routes()[number].name.as_str());
    assert_eq!(found, Some("r1007"));
}

#[test]
fn random_texts_do_not_panic_the_parser() {
    let words = [
        "[[route]]",
        "[log]",
        "[route.servers]",
        "name",
        "time",
        "=",
        "\"1s\"",
        "\"/a/*\"",
        "path",
        "3",
        "[",
        "]",
        "\n",
        "executions",
        "repeat-after",
        "[\"error\"]",
        "\"p95\"",
        "second-copy",
        "{",
        "}",
        "nan",
        "\u{7f}",
        "ü",
        ",",
        "product",
        "\"pay\"",
        "zones",
        "0x",
        "1e999",
        "'",
        "\"\"\"",
    ];
    let mut bits = 3u64;
    for _ in 0..4_000 {
        let mut text = String::new();
        for _ in 0..40 {
            bits = bits.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            text.push_str(words[(bits >> 33) as usize % words.len()]);
            text.push_str(if bits & 1 << 20 == 0 { " " } else { "\n" });
        }
        let found = errors(&text);
        render_faults("operator.toml", &text, &found);
    }
    let long = format!("name = \"{}\"", "x".repeat(1 << 20));
    assert!(
        !errors(&long).is_empty() && render_faults("operator.toml", &long, &errors(&long)).len() < 10_000
    );
}
