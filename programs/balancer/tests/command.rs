//! The program with arguments.

use std::path::Path;
use std::process::Command;

#[test]
fn arguments_end_in_words_and_an_exit_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let wrong = std::env::temp_dir().join(format!("whinspindle-command-{}.toml", std::process::id()));
    std::fs::write(&wrong, "[[route]]\nname = \"r\"\nproduct = \"order\"\ntime = \"2s\"\nexecutions = 9\n")
        .expect("written");
    let wrong = wrong.display().to_string();
    let (good, config) = ("deploy/operator.toml", "examples/balancer.json");
    let cases: &[(&[&str], i32, &[&str])] = &[
        (&["check", good, "--config", config], 0, &["good, 2 routes"]),
        (&["check", good, "--config", config, "--json"], 0, &["\"good\":true"]),
        (
            &["check", &wrong, "--config", config],
            1,
            &["error: route[0].time: rule 1", ":4:8", "help: at most 1995.000 ms", "rule 2: 9 executions"],
        ),
        (&["check", &wrong, "--config", config, "--json"], 1, &["\"good\":false", "\"line\":5"]),
        (&["check", "nowhere.toml", "--config", config], 2, &["nowhere.toml"]),
        (&["check", good, "--config", "nowhere.json"], 2, &["nowhere.json"]),
        (&["check", good, "--config", "Cargo.toml"], 2, &["not JSON"]),
        (&["check", good], 2, &["ROUTER_CONFIG: not set"]),
        (
            &[
                "route",
                good,
                "--config",
                config,
                "--method",
                "POST",
                "--path",
                "/orders/7",
                "--product",
                "order",
            ],
            0,
            &["route \"orders\": /orders/*", "execution 3 goes out", "880.000 ms"],
        ),
        (
            &["route", good, "--config", config, "--path", "/orders/7", "--product", "read"],
            0,
            &["route \"reads\"", "no other route"],
        ),
        (&["route", good, "--config", config, "--path", "/../x", "--product", "read"], 1, &["no route"]),
        (&["route", good, "--config", config, "--path", "/", "--product", "cheese"], 2, &["know no product"]),
        (&["completions", "bash"], 0, &["complete -F _whinspindle", "--operator", "--tenant"]),
        (&["completions", "zsh"], 0, &["#compdef whinspindle", "completions"]),
        (&["completions", "fish"], 0, &["complete -c whinspindle"]),
        (&["completions", "abacus"], 2, &["possible values"]),
        (&["explain", "2"], 0, &["no effect twice"]),
        (&["explain", "5"], 2, &["no rule 5"]),
        (&["--version"], 0, &["whinspindle"]),
        (&["--help"], 0, &["explain", "whinspindle proxy ", "--metrics PORT/PATH", "suspected-zones"]),
        (&["fly"], 2, &["unrecognized"]),
    ];
    for (arguments, code, wanted) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinspindle"));
        let output =
            command.args(*arguments).current_dir(&root).env_remove("ROUTER_CONFIG").output().expect("runs");
        let words = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{arguments:?}: {words}");
        for wanted in *wanted {
            assert!(words.contains(wanted), "{arguments:?}: {wanted}: {words}");
        }
    }
    let _ = std::fs::remove_file(wrong);
}
