//! Random files. The parser returns policies within the deployment's limits, or errors that can be rendered,
//! and never panics.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use whinspindle_operator_file::{parse, render_faults};

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

/// A route that is valid except for its random values, since otherwise hardly any file would reach the proof.
fn route() -> impl Strategy<Value = String> {
    let product = prop::sample::select(vec!["read", "order", "pay", "brief"]);
    let optional_time = |name: &'static str, limit: u64| {
        prop::option::of((1..limit).prop_map(move |ms| format!("{name} = \"{ms}ms\"\n")))
            .prop_map(Option::unwrap_or_default)
    };
    (
        any::<u32>(),
        product,
        optional_time("time", 4_000),
        optional_time("execution-time", 3_000),
        1u8..6,
        optional_time("wait", 900),
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

/// A runner with a fixed seed, which generates the same files in each run.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn any_text_is_parsed_or_refused_with_renderable_errors() {
    let deployment = common::deployment();
    let refused = std::cell::Cell::new(0);
    let text = prop::collection::vec(line(), 0..14).prop_map(|lines| lines.join("\n"));
    let checked = runner(3_000).run(&text, |text| {
        if let Err(errors) = parse(&text, &deployment) {
            refused.set(refused.get() + 1);
            prop_assert!(!errors.is_empty() && errors.len() <= 8 * (text.lines().count() + 1), "{}", text);
            prop_assert!(!render_faults("rendered.toml", &text, &errors).is_empty());
        }
        Ok(())
    });
    checked.expect("every file is parsed or refused");
    assert!(refused.get() > 1_000, "{} refused", refused.get());
}

#[test]
fn policies_of_an_accepted_file_stay_within_the_deployment_limits() {
    let deployment = common::deployment();
    let (accepted, refused) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let text = prop::collection::vec(route(), 1..4).prop_map(|routes| routes.concat());
    let checked = runner(3_000).run(&text, |text| {
        let Ok(config) = parse(&text, &deployment) else {
            refused.set(refused.get() + 1);
            return Ok(());
        };
        accepted.set(accepted.get() + 1);
        for policies in config.route_policies(&deployment) {
            prop_assert_eq!(policies.len(), deployment.balancer_settings.products.len());
            for (policy, statement_timeout_us) in policies.iter().zip(&deployment.statement_timeouts_us) {
                prop_assert!(
                    policy.timeout_us <= *statement_timeout_us
                        && policy.max_executions <= deployment.balancer_settings.max_executions,
                    "{}",
                    text
                );
                prop_assert!(policy.execution_timeout_us <= policy.timeout_us, "{}", text);
            }
        }
        Ok(())
    });
    checked.expect("every accepted file stays within the limits");
    assert!(
        accepted.get() > 100 && refused.get() > 100,
        "{} accepted, {} refused",
        accepted.get(),
        refused.get()
    );
}
