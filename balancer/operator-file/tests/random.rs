//! Random files: the reader returns rows within the deployment's bounds, or faults that can be shown; it never
//! panics.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use whinspindle_operator_file::{draw, read};

mod common;

/// Keys and values as operators write them, valid and invalid, and arbitrary text.
fn line() -> impl Strategy<Value = String> {
    let key = prop::sample::select(vec![
        "name",
        "method",
        "path",
        "product",
        "tenant",
        "time",
        "execution-time",
        "executions",
        "repeat-after",
        "wait",
        "spread",
        "second-copy",
        "budget",
        "largest-body",
        "zones",
        "kinds",
        "near",
        "tme",
    ]);
    let value = prop_oneof![
        (0u64..20_000, prop::sample::select(vec!["us", "ms", "s", "KiB", "B", "/s", "", "fortnight"]))
            .prop_map(|(number, unit)| format!("\"{number}{unit}\"")),
        any::<i64>().prop_map(|number| number.to_string()),
        (0u32..8).prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:?}")),
        prop::sample::select(vec![
            "true",
            "[]",
            "[\"error\"]",
            "[\"never-ran\", \"broken\"]",
            "\"order\"",
            "\"pay\"",
            "\"read\"",
            "\"acme\"",
            "\"/a/*\"",
            "\"/a/../b\"",
            "\"/%2e\"",
            "\"GET\"",
            "\"POST\"",
            "\"p99\"",
            "\"zone\"",
            "99999999999999999999",
            "{ a = 1 }",
            "\"\\u0000\"",
        ])
        .prop_map(str::to_string),
        any::<String>().prop_map(|text| format!("{text:?}")),
    ];
    prop_oneof![
        6 => (key, value).prop_map(|(key, value)| format!("{key} = {value}")),
        2 => Just("[[route]]".to_string()),
        1 => any::<String>(),
        1 => prop::sample::select(vec!["[route]", "[", "name = \\", "[[route.x]]", "\u{feff}", "#"])
            .prop_map(str::to_string),
    ]
}

/// A route that is valid but for the random values: otherwise hardly any file would reach the proof.
fn route() -> impl Strategy<Value = String> {
    let product = prop::sample::select(vec!["read", "order", "pay", "brief"]);
    let some = |name: &'static str, most: u64| {
        prop::option::of((1..most).prop_map(move |ms| format!("{name} = \"{ms}ms\"\n")))
            .prop_map(Option::unwrap_or_default)
    };
    (
        any::<u32>(),
        product,
        some("time", 4_000),
        some("execution-time", 3_000),
        1u8..6,
        some("wait", 900),
        0u8..5,
    )
        .prop_map(|(name, product, time, execution, executions, wait, after)| {
            let after = match after {
                0 => "",
                1 => "repeat-after = [\"never-ran\"]\n",
                2 => "repeat-after = [\"broken\"]\n",
                3 => "repeat-after = [\"error\", \"timed-out\"]\n",
                _ => "repeat-after = [\"never-ran\", \"error\", \"broken\", \"timed-out\"]\n",
            };
            format!(
                "[[route]]\nname = \"r{name}\"\npath = \"/r{name}\"\nproduct = \"{product}\"\n\
                 {time}{execution}executions = {executions}\n{wait}{after}"
            )
        })
}

/// A runner with a fixed seed: the same files in each run.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn any_text_is_read_or_refused_with_faults_that_can_be_shown() {
    let deployment = common::deployment();
    let refused = std::cell::Cell::new(0);
    let text = prop::collection::vec(line(), 0..14).prop_map(|lines| lines.join("\n"));
    let checked = runner(3_000).run(&text, |text| {
        if let Err(faults) = read(&text, &deployment) {
            refused.set(refused.get() + 1);
            prop_assert!(!faults.is_empty() && faults.len() <= 8 * (text.lines().count() + 1), "{}", text);
            prop_assert!(!draw("drawn.toml", &text, &faults).is_empty());
        }
        Ok(())
    });
    checked.expect("no file does harm");
    assert!(refused.get() > 1_000, "{} refused", refused.get());
}

#[test]
fn rows_of_an_accepted_file_stay_within_the_deployments_bounds() {
    let deployment = common::deployment();
    let (accepted, refused) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let text = prop::collection::vec(route(), 1..4).prop_map(|routes| routes.concat());
    let checked = runner(3_000).run(&text, |text| {
        let Ok(operator) = read(&text, &deployment) else {
            refused.set(refused.get() + 1);
            return Ok(());
        };
        accepted.set(accepted.get() + 1);
        for rows in operator.rows(&deployment) {
            prop_assert_eq!(rows.len(), deployment.balancer_settings.products.len());
            for (row, most) in rows.iter().zip(&deployment.statement_timeouts_us) {
                prop_assert!(
                    row.timeout_us <= *most
                        && row.max_executions <= deployment.balancer_settings.max_executions,
                    "{}",
                    text
                );
                prop_assert!(row.execution_timeout_us <= row.timeout_us, "{}", text);
            }
        }
        Ok(())
    });
    checked.expect("no accepted file goes beyond");
    assert!(
        accepted.get() > 100 && refused.get() > 100,
        "{} accepted, {} refused",
        accepted.get(),
        refused.get()
    );
}
