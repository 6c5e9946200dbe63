//! Tables of invalid files, each refused at the expected line for the expected rule; valid ones and their values.

mod common;

use common::deployment;
use whinspindle_operator_file::{CutOff, LARGEST_BODY, Operator, draw, read, read_policy};
use whinspindle_routes::RetryOn;
use whinspindle_toml_config::ConfigError;

fn faults(text: &str) -> Vec<ConfigError> {
    read(text, &deployment()).err().unwrap_or_default()
}

/// The lines of a route, the line that is refused (the first is 2, its name), the field, words of the fault.
type Wrong = (&'static str, usize, &'static str, &'static str);

const WRONG: &[Wrong] = &[
    // How it is written.
    ("tme = \"1s\"", 3, "tme", "no such key"),
    ("time = 1", 3, "time", "bare integer"),
    ("time = \"1\"", 3, "time", "no unit"),
    ("time = \"1 fortnight\"", 3, "time", "unknown unit"),
    ("time = \"0s\"", 3, "time", "is nothing"),
    ("time = \"-1s\"", 3, "time", "does not begin with a number"),
    ("time = \"1s\"\ntime = \"2s\"", 4, "", "duplicate key"),
    ("time = \"9999999999999999d\"", 3, "time", "too large"),
    ("execution-time = true", 3, "execution-time", "is a bare boolean"),
    ("execution-time = \"0ms\"", 3, "execution-time", "is nothing"),
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
    ("repeat-after = [\"sometimes\"]", 3, "repeat-after[0]", "is no outcome"),
    ("second-copy = \"soon\"", 3, "second-copy", "neither a time nor a quantile"),
    ("second-copy = \"p100\"", 3, "second-copy", "neither a time nor a quantile"),
    ("second-copy = \"p10\"", 3, "second-copy", "neither a time nor a quantile"),
    ("servers = 3", 3, "servers", "is a integer"),
    ("servers = { zone = \"a\" }", 3, "servers.zone", "no such key"),
    ("servers = { repeats = \"near\" }", 3, "servers.repeats", "not known"),
    ("servers = { zones = [] }", 3, "servers.zones", "names nobody"),
    // Whom it is for.
    ("path = \"orders\"", 3, "path", "slash"),
    ("path = \"/a/../b\"", 3, "path", "segment of dots"),
    ("path = \"/a//b\"", 3, "path", "empty segment"),
    ("path = \"/a%2Fb\"", 3, "path", "'%'"),
    ("path = \"/a?b=c\"", 3, "path", "'?'"),
    ("path = \"/*/b\"", 3, "path", "star"),
    ("path = \"/{a\"", 3, "path", "braces"),
    ("method = \"get\"", 3, "method", "not known"),
    ("method = \"PUT\"", 3, "method", "not known"),
    ("product = \"cheese\"", 3, "product", "settings know no"),
    ("tenant = \"nobody\"", 3, "tenant", "settings know no"),
    ("method = \"GET\"\nproduct = \"order\"", 3, "method", "no query can reach it"),
    ("servers = { zones = [\"a\", \"z\"] }", 3, "servers.zones[1]", "settings know no"),
    ("servers = { kinds = [\"x\"] }", 3, "servers.kinds[0]", "settings know no"),
    // Sums that break rule 1.
    ("time = \"3s\"", 3, "time", "rule 1"),
    ("time = \"2995001us\"", 3, "time", "rule 1"),
    ("time = \"1s\"\nexecution-time = \"1000001us\"\nexecutions = 1", 4, "execution-time", "rule 1"),
    // And rule 2.
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
    // And what makes no sense.
    ("largest-body = \"65KiB\"", 3, "largest-body", "where the deployment takes"),
    (
        "executions = 1\nrepeat-after = [\"error\"]\nproduct = \"read\"",
        3,
        "executions",
        "no execution is left",
    ),
    ("time = \"500ms\"\nexecution-time = \"400ms\"\nexecutions = 4", 5, "executions", "only 2 can go out"),
];

#[test]
fn each_wrong_file_is_refused_at_its_line_for_its_rule() {
    assert!(WRONG.len() >= 50);
    for (lines, line, field, words) in WRONG {
        let text = format!("[[route]]\nname = \"r\"\n{lines}\n");
        let found = faults(&text);
        let told: Vec<String> = found.iter().map(ToString::to_string).collect();
        let field = if field.is_empty() { String::new() } else { format!("route[0].{field}") };
        let fits = |f: &&ConfigError| f.line == *line && f.field == field && f.message.contains(words);
        let fault = found.iter().find(fits);
        assert!(fault.is_some(), "{lines}: line {line}, {field}, {words} in {told:?}");
        let drawn = draw("operator.toml", &text, &found);
        assert!(drawn.contains("error: ") && drawn.contains(&format!("operator.toml:{line}:")), "{drawn}");
    }
}

#[test]
fn files_with_conflicting_routes_are_refused() {
    let cases = [
        ("[[route]]\nname = \"a\"\n[[route]]\nname = \"b\"\n", 3, "matches the same queries as \"a\""),
        ("[[route]]\nname = \"a\"\n[[route]]\nname = \"a\"\npath = \"/x\"\n", 4, "is there twice"),
        ("[[route]]\npath = \"/x\"\n", 1, "is missing"),
        ("[[rout]]\nname = \"a\"\n", 1, "no such key"),
        ("route = 3\n", 1, "is a integer"),
        ("[[route]\n", 1, ""),
    ];
    for (text, line, words) in cases {
        let found = faults(text);
        let told: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(found.iter().any(|f| f.line == line && f.message.contains(words)), "{text}: {told:?}");
    }
}

/// A valid file of a fleet's member and a valid policy; the cases change lines of them.
const FLEET: &str = "[fleet]\nname = \"f\"\nvoters = [0]\nsocket = \"s\"\nstore = \"d\"\n";
const LIMITS: &str = "[limits.out]\nbalancers = 1\nservers = 3\nservers-by-zone = 2\n";

#[test]
fn invalid_fleet_settings_are_refused_at_their_lines() {
    let deployment = deployment();
    let own = |text: &str| read(text, &deployment);
    let policy = |text: &str| read_policy(text, &deployment);
    assert!(own(FLEET).is_ok_and(|own| own.fleet.is_some_and(|fleet| fleet.pace == 2_000_000)));
    assert!(policy(LIMITS).is_ok_and(|policy| policy.limits.servers_by_zone == Some(2)));
    let rejects = policy("[cut-off]\nqueries = \"reject\"\n").expect("good");
    assert!(matches!(rejects.cut_off, CutOff::Rejects));
    type Read<'a> = &'a dyn Fn(&str) -> Result<Operator, Vec<ConfigError>>;
    let cases: [(Read, &str, &str, &str, usize, &str); 22] = [
        (&own, "", "", "", 1, "the file is empty"),
        (&policy, "# being written", "", "", 1, "the file is empty"),
        (&policy, FLEET, "", "", 1, "no such key"),
        (&own, LIMITS, "", "", 1, "agreed on by the fleet"),
        (&own, FLEET, "voters = [0]", "voters = [0, 1]", 3, "2 voters"),
        (&own, FLEET, "voters = [0]", "voters = []", 3, "0 voters"),
        (&own, FLEET, "voters = [0]", "voters = [0, 0, 1]", 3, "names a balancer twice"),
        (&own, FLEET, "voters = [0]", "voters = [2]", 3, "no such number"),
        (&own, FLEET, "voters = [0]", "voters = \"0\"", 3, "is a string"),
        (&own, FLEET, "name = \"f\"\n", "", 1, "is missing"),
        (&own, FLEET, "store = \"d\"", "", 1, "is missing"),
        (&own, FLEET, "store", "right = \"1s\"\npace = \"500ms\"\nstore", 5, "asked for every 500 ms"),
        (&own, FLEET, "store", "pace = \"1ms\"\nstore", 5, "times a second"),
        (&own, FLEET, "store", "absent = \"3s\"\nstore", 5, "one question lost"),
        (&own, FLEET, "store", "drift = 0.5\nstore", 5, "outside"),
        (&own, FLEET, "store", "datagram = \"64KiB\"\nstore", 5, "65536 bytes"),
        (
            &own,
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
            "no query comes",
        ),
    ];
    for (read, good, from, to, line, words) in cases {
        let text = if from.is_empty() { good.to_string() } else { good.replacen(from, to, 1) };
        let found = read(&text).err().unwrap_or_default();
        let told: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(
            found.iter().any(|f| f.line == line && f.message.contains(words)),
            "{text}: {words} in {told:?}"
        );
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "[[route]]\nname = \"a\"\ntime = 3\n[[route]]\nname = \"b\"\npath = \"/x\"\nexecutions = 0\n";
    let lines: Vec<usize> = faults(text).iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [3, 7]);
}

fn valid(text: &str) -> Operator {
    read(text, &deployment()).unwrap_or_else(|faults| panic!("{}", draw("operator.toml", text, &faults)))
}

#[test]
fn unset_values_default_to_those_without_a_route() {
    let operator = valid("[[route]]\nname = \"all\"\n");
    let rows = &operator.routes.routes()[0].conditions;
    let all = RetryOn { never_ran: true, error: true, broken: true, timed_out: true };
    let never_ran = RetryOn { never_ran: true, ..RetryOn::NONE };
    for (product, executions, after, in_pod) in [(0, 1, RetryOn::NONE, false), (2, 1, RetryOn::NONE, false)] {
        let row = &rows[product];
        assert_eq!((row.executions, row.retry_on), (executions, after), "product {product}");
        assert_eq!(
            (row.servers.repeats_in_pod, row.largest_body),
            (in_pod, LARGEST_BODY),
            "product {product}"
        );
    }
    // With a time for executions there is room for more of them.
    let operator = valid("[[route]]\nname = \"all\"\nexecution-time = \"500ms\"\n");
    let rows = &operator.routes.routes()[0].conditions;
    let wanted = [(0, 4, all, false), (1, 4, all, true), (2, 4, never_ran, false), (3, 2, all, false)];
    for (product, executions, after, in_pod) in wanted {
        let row = &rows[product];
        assert_eq!((row.executions, row.retry_on), (executions, after), "product {product}");
        assert_eq!(row.servers.repeats_in_pod, in_pod, "product {product}");
    }
}

#[test]
fn the_example_file_is_valid_for_the_example_settings() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let config = std::fs::read_to_string(root.join("examples/balancer.json")).expect("an example");
    // The settings are the last field of the example.
    let settings = config.split("\"settings\":").nth(1).and_then(|rest| rest.trim_end().strip_suffix('}'));
    let deployment =
        whinspindle_deployment_settings::parse(settings.unwrap_or_default().as_bytes()).expect("settings");
    let text = std::fs::read_to_string(root.join("deploy/operator.toml")).expect("an example");
    let read = read(&text, &deployment);
    assert!(
        read.is_ok(),
        "{}",
        read.err().map(|faults| draw("operator.toml", &text, &faults)).unwrap_or_default()
    );
}

#[test]
fn two_thousand_routes_are_read_and_found() {
    let text: String = (0..2_000)
        .map(|n| {
            format!("[[route]]\nname = \"r{n}\"\npath = \"/s{}/{{id}}/p{n}/*\"\ntime = \"1s\"\n", n % 50)
        })
        .collect();
    let operator = valid(&text);
    let lookup = whinspindle_routes::Lookup { method: "GET", target: "/s7/x/p1007/y", product: 0, tenant: 9 };
    let found = operator.routes.find(&lookup).map(|number| operator.routes.routes()[number].name.as_str());
    assert_eq!(found, Some("r1007"));
}

#[test]
fn no_text_makes_the_reader_panic() {
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
        let found = faults(&text);
        draw("operator.toml", &text, &found);
    }
    let long = format!("name = \"{}\"", "x".repeat(1 << 20));
    assert!(!faults(&long).is_empty() && draw("operator.toml", &long, &faults(&long)).len() < 10_000);
}
