//! Faulty scenario files, each with the line that is told; the files of the repository, which are all good.

use std::path::Path;

use whinspindle_lab_scenario::{Scenario, change};

const GOOD: &str = r#"name = "n"
shows = "s"
zones = ["a", "b"]
[[kind]]
name = "k"
[[tier]]
name = "t"
[[tier.servers]]
kind = "k"
count = 2
[[product]]
name = "p"
effect = "idempotent"
[[load]]
rate = "10/s"
"#;

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn each_fault_is_told_with_its_line() {
    assert!(Scenario::read(GOOD).is_ok());
    let cases: &[(&str, &str, usize, &str)] = &[
        ("name = \"n\"", "nane = \"n\"", 1, "nane"),
        ("zones = [\"a\", \"b\"]", "zones = []", 3, "zones"),
        ("zones = [\"a\", \"b\"]", "zones = [\"a\", \"a\"]", 3, "zones[1]"),
        ("zones = [\"a\", \"b\"]", "zones = [\"a\"]\nlasts = 30", 4, "lasts"),
        ("zones = [\"a\", \"b\"]", "zones = [\"a\"]\nlasts = \"2d\"", 4, "lasts"),
        ("zones = [\"a\", \"b\"]", "zones = [\"a\"]\nwarm-up = \"1h\"", 4, "warm-up"),
        ("name = \"k\"", "name = \"k\"\ncores = 0", 6, "kind[0].cores"),
        ("name = \"k\"", "name = \"k\"\nspeed = \"fast\"", 6, "kind[0].speed"),
        ("name = \"k\"", "name = \"k\"\nchoke = { at = 1.0, idle = 2.0 }", 6, "kind[0].choke.idle"),
        ("kind = \"k\"", "kind = \"x\"", 9, "tier[0].servers[0].kind"),
        ("count = 2", "count = 0", 10, "tier[0].servers[0].count"),
        ("count = 2", "count = 2\nzones = [\"c\"]", 11, "tier[0].servers[0].zones[0]"),
        ("effect = \"idempotent\"", "effect = \"twice\"", 13, "product[0].effect"),
        ("effect = \"idempotent\"", "effect = \"idempotent\"\nmemory = \"5s\"", 14, "product[0].memory"),
        ("effect = \"idempotent\"", "effect = \"idempotent\"\nslo-time = \"0s\"", 14, "product[0].slo-time"),
        (
            "effect = \"idempotent\"",
            "effect = \"idempotent\"\nstatement-timeout = \"1ms\"",
            14,
            "product[0].statement-timeout",
        ),
        ("effect = \"idempotent\"", "effect = \"idempotent\"\ncalls = 1", 11, "product[0].calls-product"),
        ("rate = \"10/s\"", "rate = \"10\"", 15, "load[0].rate"),
        ("rate = \"10/s\"", "rate = \"10/s\"\nshape = \"ramp\"", 14, "load[0].peak"),
        ("rate = \"10/s\"", "rate = \"10/s\"\npeak = \"20/s\"", 16, "load[0].peak"),
        ("rate = \"10/s\"", "rate = \"10/s\"\nfrom = \"40s\"", 16, "load[0].from"),
        ("rate = \"10/s\"", "rate = \"10/s\"\nproduct = \"q\"", 16, "load[0].product"),
        ("rate = \"10/s\"", "rate = \"10/s\"\ntenant = \"q\"", 16, "load[0].tenant"),
        (
            "rate = \"10/s\"",
            "rate = \"10/s\"\n[[trouble]]\nat = \"50s\"\nwhat = \"loss\"",
            17,
            "trouble[0].at",
        ),
        (
            "rate = \"10/s\"",
            "rate = \"10/s\"\n[[trouble]]\nat = \"1s\"\nwhat = \"rain\"",
            18,
            "trouble[0].what",
        ),
        ("rate = \"10/s\"", "rate = \"10/s\"\n[[trouble]]\nat = \"1s\"\nwhat = \"kill\"", 16, "trouble[0]"),
        (
            "rate = \"10/s\"",
            "rate = \"10/s\"\n[[trouble]]\nat = \"1s\"\nwhat = \"kill\"\nservers = [\"2\"]",
            19,
            "trouble[0].servers[0]",
        ),
        (
            "rate = \"10/s\"",
            "rate = \"10/s\"\n[[trouble]]\nat = \"1s\"\nwhat = \"cut\"\nzones = [\"a\"]",
            19,
            "trouble[0].zones",
        ),
        ("rate = \"10/s\"", "rate = \"10/s\"\n[ranges]\nseed = [\"1\"]", 17, "ranges.seed"),
        ("rate = \"10/s\"", "rate = \"10/s\"\n[ranges]\nlasts = [\"9ms\", \"1s\"]", 17, "ranges.lasts"),
    ];
    for (old, new, line, field) in cases {
        let text = GOOD.replacen(old, new, 1);
        let faults = Scenario::read(&text).err().unwrap_or_default();
        let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let found = faults.iter().any(|f| f.line == *line && f.field == *field && !f.hint.is_empty());
        let unknown = faults.iter().any(|f| f.line == *line && f.field == *field);
        assert!(found || (unknown && *field == "nane"), "{new}: line {line}, {field} in {told:?}");
    }
}

#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let text = GOOD.replace("count = 2", "count = 0").replace("rate = \"10/s\"", "rate = 10");
    let lines: Vec<usize> = Scenario::read(&text).err().unwrap_or_default().iter().map(|f| f.line).collect();
    assert_eq!(lines, [10, 15]);
}

#[test]
fn the_scenarios_of_the_repository_are_good_and_say_what_they_show() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").path()) {
        let text = std::fs::read_to_string(&file).expect("text");
        let scenario =
            Scenario::read(&text).unwrap_or_else(|faults| panic!("{}: {faults:?}", file.display()));
        let name = file.file_stem().and_then(|name| name.to_str()).unwrap_or_default();
        assert_eq!(scenario.name, name);
        assert!(scenario.shows.len() > 20 && scenario.capacity(0) > 0.0, "{name}");
        count += 1;
    }
    assert!(count >= 20, "{count}");
}

#[test]
fn values_are_set_by_their_path() {
    let cases = [
        ("seed", "7", Ok("seed = 7")),
        ("tier.0.servers.0.count", "5", Ok("count = 5")),
        ("load.0.rate", "20/s", Ok("rate = \"20/s\"")),
        ("tier.0.balancers", "3", Ok("balancers = 3")),
        ("tier.1.balancers", "3", Err("there is no \"1\"")),
        ("name.x", "3", Err("inside a plain value")),
        ("network.far", "3ms", Err("there is no \"network\"")),
    ];
    for (path, value, wanted) in cases {
        let mut table = change::parse(GOOD).expect("TOML");
        let set = change::set(&mut table, path, change::value(value)).map(|()| change::write(&table));
        match (set, wanted) {
            (Ok(text), Ok(line)) => assert!(text.contains(line), "{path}: {text}"),
            (Err(fault), Err(words)) => assert!(fault.contains(words), "{path}: {fault}"),
            (set, _) => panic!("{path}: {set:?}"),
        }
    }
}

#[test]
fn values_between_two_keep_their_unit() {
    let cases = [
        ("50/s", "150/s", 0.5, Ok("\"100/s\"")),
        ("1", "4", 0.4, Ok("2")),
        ("0.5", "1.5", 0.25, Ok("0.75")),
        ("1ms", "2s", 0.5, Err(())),
        ("ms", "2ms", 0.5, Err(())),
    ];
    for (low, high, part, wanted) in cases {
        let got = change::between(low, high, part).map(|value| value.to_string()).map_err(|_| ());
        assert_eq!(got, wanted.map(str::to_string), "{low} to {high}");
    }
}

#[test]
fn smaller_files_are_smaller_and_mostly_good() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios/payments.toml");
    let table = change::parse(&std::fs::read_to_string(file).expect("text")).expect("TOML");
    let smaller = change::smaller(&table);
    assert!(smaller.len() > 10);
    let good = smaller.iter().filter(|table| Scenario::read(&change::write(table)).is_ok()).count();
    assert!(good * 2 > smaller.len(), "{good} of {}", smaller.len());
    assert!(smaller.iter().all(|less| less != &table));
}
