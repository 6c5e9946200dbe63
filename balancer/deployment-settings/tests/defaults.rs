//! Defaults for missing settings.

use serde_json::{Value, json};

fn settings(products: Value, limits: Value) -> Vec<u8> {
    let mut settings = json!({"balancers": 1, "tier": 0, "membershipMode": "pushed", "tickNs": 5_000_000,
        "products": products, "loadInfo": {},
        "limits": {"cancel": true, "mostExecutions": 3, "maxRetryAfterNs": 0, "retryAfter": false,
            "secondCopies": false},
        "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}});
    for (name, value) in limits.as_object().expect("an object") {
        settings["limits"][name] = value.clone();
    }
    settings.to_string().into_bytes()
}

#[test]
fn connection_timeouts_default_to_values_of_the_products() {
    let product = |slo_ms: u64, statement_timeout_ms: u64| json!({"effect": "safe", "sloTimeNs": slo_ms * 1_000_000, "statementTimeoutNs": statement_timeout_ms * 1_000_000});
    let timeouts = json!({"connIdleNs": 6_000_000_000u64, "connectTimeoutNs": 150_000_000});
    // Expected idle timeout and connect timeout, in milliseconds.
    for (products, limits, idle_ms, connect_ms) in [
        (json!([product(400, 900)]), json!({}), 900, 100),
        (json!([product(400, 900), product(2_000, 7_000)]), json!({}), 7_000, 100),
        (json!([product(400, 900)]), timeouts, 6_000, 150),
    ] {
        let deployment =
            whinspindle_deployment_settings::parse(&settings(products, limits)).expect("settings");
        assert_eq!(
            (deployment.server_idle_timeout_us / 1000, deployment.connect_timeout_us / 1000),
            (idle_ms, connect_ms)
        );
    }
}
