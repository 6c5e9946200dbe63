//! The command as a user calls it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let command =
        Command::new(env!("CARGO_BIN_EXE_whinspindle-lab")).args(arguments).current_dir(root).output();
    command.expect("the command runs")
}

fn words(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

/// A folder of its own for a test, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("whinspindle-lab-test-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_kept_run_is_played_again_to_the_last_digit() {
    let out = folder("replay");
    let to = out.display().to_string();
    let ran = lab(&["run", "lab/scenarios/three-servers.toml", "--out", &to]);
    assert!(ran.status.success() && words(&ran).contains("all four rules kept"), "{}", words(&ran));
    let json = out.join("three-servers-module-1.json").display().to_string();
    let again = lab(&["replay", &json]);
    assert!(again.status.success() && words(&again).contains("the same run"), "{}", words(&again));
    // A kept run of another build is told from this one.
    let text = std::fs::read_to_string(&json).expect("kept");
    let digest = text.split("\"digest\": \"").nth(1).and_then(|rest| rest.get(..16)).expect("a digest");
    std::fs::write(&json, text.replace(digest, "0123456789abcdef")).expect("written");
    let other = lab(&["replay", &json]);
    assert!(!other.status.success() && words(&other).contains("ANOTHER RUN"), "{}", words(&other));
    assert!(lab(&["report", &json]).status.success());
    let _ = std::fs::remove_dir_all(out);
}

#[test]
fn exits_tell_what_was_wrong() {
    let out = folder("exits");
    let file = out.join("wrong.toml");
    std::fs::write(&file, "name = 3\nzones = [\"a\"]\nlasts = \"1 year\"\n").expect("written");
    let file = file.display().to_string();
    let cases: &[(&[&str], i32, &str)] = &[
        (&["check", "lab/scenarios/demo.toml"], 0, "good"),
        (&["check", &file], 2, "wrong.toml: line 3:9: lasts: has an unknown unit"),
        (&["run", &file], 2, "line 1:8: name"),
        (&["run", "nowhere.toml"], 2, "nowhere.toml"),
        (&["run", "lab/scenarios/demo.toml", "--policy", "best"], 2, "no policy"),
        (&["run", "lab/scenarios/demo.toml", "--set", "load.9.rate=1/s"], 2, "there is no"),
        (
            &["run", "lab/scenarios/discovery-late.toml", "--policy", "reckless", "--set", "lasts=20s"],
            3,
            "BROKEN",
        ),
        (&["run", "lab/scenarios/demo.toml", "--real", "--program", "nowhere"], 2, "no such program"),
        (&["fly"], 2, "unrecognized"),
    ];
    for (arguments, code, wanted) in cases {
        let output = lab(arguments);
        assert_eq!(output.status.code(), Some(*code), "{arguments:?}: {}", words(&output));
        assert!(words(&output).contains(wanted), "{arguments:?}: {}", words(&output));
    }
    let _ = std::fs::remove_dir_all(out);
}

#[test]
fn a_hunt_finds_what_is_planted_and_shrinks_it() {
    let out = folder("hunt");
    let to = out.display().to_string();
    let hunted = lab(&[
        "hunt",
        "lab/scenarios/payments.toml",
        "--policy",
        "reckless",
        "--tries",
        "4",
        "--keep",
        "1",
        "--shrink",
        "60",
        "--out",
        &to,
    ]);
    assert_eq!(hunted.status.code(), Some(3), "{}", words(&hunted));
    let lines = |name: &str| std::fs::read_to_string(out.join(name)).expect("saved").lines().count();
    let (whole, small) = (lines("find-0.toml"), lines("find-0-small.toml"));
    assert!(small < whole, "{small} of {whole} lines");
    let small = out.join("find-0-small.toml").display().to_string();
    let shown = lab(&["run", &small, "--policy", "reckless"]);
    assert_eq!(shown.status.code(), Some(3), "{}", words(&shown));
    let _ = std::fs::remove_dir_all(out);
}

#[test]
fn a_hunt_over_ranges_plays_what_it_draws() {
    let out = folder("ranges");
    let to = out.display().to_string();
    let files = ["lab/scenarios/hunt-small.toml", "lab/scenarios/hunt-tiers.toml"];
    let hunted = lab(&["hunt", files[0], files[1], "--tries", "16", "--keep", "0", "--out", &to]);
    let text = words(&hunted);
    assert!(text.contains("16 days played"), "{text}");
    assert!(!text.contains("could not be played"), "{text}");
    let _ = std::fs::remove_dir_all(out);
}

#[test]
fn sweeps_and_comparisons_end_in_tables() {
    let swept = lab(&[
        "sweep",
        "lab/scenarios/three-servers.toml",
        "--over",
        "load.0.rate=30/s,300/s",
        "--seeds",
        "2",
    ]);
    assert!(words(&swept).matches("load.0.rate=").count() == 2, "{}", words(&swept));
    let compared =
        lab(&["compare", "lab/scenarios/three-servers.toml", "--second", "random,module", "--seeds", "3"]);
    let text = words(&compared);
    // The module compared with itself differs by nothing at all.
    assert!(text.contains("+0.000 (+0.000 to +0.000) noise"), "{text}");
    let build = env!("CARGO_BIN_EXE_whinspindle-lab");
    let compared = lab(&["compare", "lab/scenarios/three-servers.toml", "--build", build, "--seeds", "2"]);
    assert!(words(&compared).contains("+0.000 (+0.000 to +0.000) noise"), "{}", words(&compared));
}

#[test]
fn the_program_itself_keeps_the_rules_on_sockets() {
    // The program stands beside this command once the whole workspace is built.
    let program = Path::new(env!("CARGO_BIN_EXE_whinspindle-lab")).with_file_name("whinspindle");
    if !program.is_file() {
        panic!("{}: build the whole workspace first", program.display());
    }
    for (scenario, lasts, fleet) in [("demo", "lasts=21s", false), ("policy-links", "lasts=31s", true)] {
        let file = format!("lab/scenarios/{scenario}.toml");
        let program = program.display().to_string();
        let ran = lab(&["run", &file, "--real", "--program", &program, "--json", "--set", lasts]);
        let text = String::from_utf8_lossy(&ran.stdout).to_string();
        let figure = |name: &str| {
            let rest = text.split(&format!("\"{name}\": ")).nth(1).unwrap_or_default();
            rest.split([',', '\n']).next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(-1.0)
        };
        // On a machine that is too slow the run says that it does not count: then only the fleet's promises,
        // which rest on no time but their own, are judged.
        let void = ran.status.code() == Some(4);
        assert!(!fleet || (text.contains("\"fleet\": null") && figure("fleet_looked") > 500.0), "{text}");
        if !void {
            assert!(ran.status.success(), "{}", words(&ran));
            assert!(figure("completed") > 0.5 * figure("queries") && figure("queries") > 1_000.0, "{text}");
        }
    }
}
