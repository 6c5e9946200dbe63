//! What follows from the settings where one is not told.

use serde_json::{Value, json};

fn settings(products: Value, limits: Value) -> Vec<u8> {
    let mut whole = json!({"balancers": 1, "tier": 0, "membershipMode": "pushed", "tickNs": 5_000_000,
        "products": products, "loadInfo": {},
        "limits": {"cancel": true, "mostExecutions": 3, "maxRetryAfterNs": 0, "retryAfter": false,
            "secondCopies": false},
        "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}});
    for (name, value) in limits.as_object().expect("an object") {
        whole["limits"][name] = value.clone();
    }
    whole.to_string().into_bytes()
}

#[test]
fn times_of_connections_that_are_not_told_follow_from_the_products() {
    let product = |slo: u64, longest: u64| json!({"effect": "safe", "sloTimeNs": slo * 1_000_000, "statementTimeoutNs": longest * 1_000_000});
    let told = json!({"connIdleNs": 6_000_000_000u64, "connectTimeoutNs": 150_000_000});
    // In milliseconds: how long connections may stand idle, and how long connecting may take.
    for (products, limits, idle, connect) in [
        (json!([product(400, 900)]), json!({}), 900, 100),
        (json!([product(400, 900), product(2_000, 7_000)]), json!({}), 7_000, 100),
        (json!([product(400, 900)]), told, 6_000, 150),
    ] {
        let deployment =
            whinspindle_deployment_settings::parse(&settings(products, limits)).expect("settings");
        assert_eq!(
            (deployment.server_idle_timeout_us / 1000, deployment.connect_timeout_us / 1000),
            (idle, connect)
        );
    }
}
