//! The deployment that the files are checked against.

use whinspindle_deployment_settings::Deployment;

/// Four products with a statement timeout of 3 s: `read` is idempotent, `order` is deduplicated in the pod
/// for 5 s, `pay` is non-idempotent, and `brief` is deduplicated everywhere for 1 s.
pub fn deployment() -> Deployment {
    let settings = r#"{"balancers": 2, "tier": 0, "zones": ["a", "b"], "kinds": ["m"], "membershipMode": "pushed",
        "tickNs": 5000000, "products": [
        {"name": "read", "effect": "safe", "sloTimeNs": 500000000, "statementTimeoutNs": 3000000000},
        {"name": "order", "effect": "keyed", "keyScope": "cell", "sloTimeNs": 500000000,
            "memorySpanNs": 5000000000, "statementTimeoutNs": 3000000000},
        {"name": "pay", "effect": "unsafe", "sloTimeNs": 500000000, "statementTimeoutNs": 3000000000},
        {"name": "brief", "effect": "keyed", "keyScope": "all", "sloTimeNs": 500000000,
            "memorySpanNs": 1000000000, "statementTimeoutNs": 3000000000}],
        "projects": [{"name": "acme", "quotaPerS": 50.0}, {"name": "bolt", "quotaPerS": 50.0}],
        "limits": {"cancel": true, "mostExecutions": 4, "maxRetryAfterNs": 0, "retryAfter": false,
            "secondCopies": false, "connIdleNs": 15000000000, "connectTimeoutNs": 250000000},
        "loadInfo": {"columns": []},
        "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}}"#;
    whinspindle_deployment_settings::parse(settings.as_bytes()).expect("settings")
}
