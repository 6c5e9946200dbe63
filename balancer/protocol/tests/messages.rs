//! What is read from the wire and what is written to it, and input that must be turned down.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use whinspindle::host::{EndpointState, Outcome};
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::answer::{AbortReason, Answer, ServerResponse};
use whinspindle_protocol::endpoints::EndpointUpdate;
use whinspindle_protocol::execution::{self, Reply};
use whinspindle_protocol::query::QueryHead;

fn deployment() -> Deployment {
    let settings = r#"{"balancers": 1, "tier": 0, "membershipMode": "pushed", "tickNs": 1,
        "products": [
            {"name": "read", "effect": "safe", "sloTimeNs": 1000000, "statementTimeoutNs": 3000000000},
            {"name": "order", "effect": "keyed", "keyScope": "all", "memorySpanNs": 2000000000,
                "sloTimeNs": 1000000, "statementTimeoutNs": 2000000000}],
        "projects": [{"name": "acme"}, {"name": "zenith"}],
        "limits": {"cancel": true, "mostExecutions": 2, "maxRetryAfterNs": 0, "retryAfter": false,
            "secondCopies": true},
        "loadInfo": {"columns": ["outstanding", "utilization", "throughput"]},
        "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}}"#;
    whinspindle_deployment_settings::parse(settings.as_bytes()).expect("settings")
}

fn head(method: Method, headers: &[(&str, &str)]) -> Result<QueryHead, (u16, String)> {
    let mut request = Request::builder().method(method).uri("/api?x=1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).expect("a request").into_parts();
    QueryHead::decode(&parts, &deployment()).map_err(|fault| (fault.status.as_u16(), fault.to_string()))
}

#[test]
fn heads_are_read() {
    let read = [("x-trace-id", "1"), ("x-qos", "read")];
    let order = [("x-trace-id", "1"), ("x-qos", "order"), ("idempotency-key", "k")];
    for (method, headers, more, read) in [
        (Method::GET, &read[..], &[][..], (0, 2, 3_000_000)),
        (Method::POST, &order, &[("x-customer", "zenith")], (1, 1, 2_000_000)),
        (Method::POST, &order, &[("x-customer", "nobody"), ("x-expires-in-ms", "480")], (1, 2, 480_000)),
        (Method::POST, &order, &[("x-expires-in-ms", "0")], (1, 2, 0)),
        (Method::POST, &order, &[("x-expires-in-ms", "99999999999999999")], (1, 2, 2_000_000)),
    ] {
        let head = head(method, &[headers, more].concat()).expect("a query");
        assert_eq!((head.product, head.tenant, head.client_timeout_us), read, "{more:?}");
    }
}

#[test]
fn malformed_heads_are_turned_down_by_name() {
    let order = [("x-trace-id", "1"), ("x-qos", "order"), ("idempotency-key", "k")];
    let replaced = |name: &str, value: Option<&'static str>| -> Vec<(&str, &str)> {
        let kept = order.iter().filter(|header| header.0 != name).copied();
        kept.chain(value.map(|value| (order.iter().find(|h| h.0 == name).expect("known").0, value))).collect()
    };
    for (method, headers, status, fault) in [
        (Method::PUT, order.to_vec(), 405, "method: neither GET nor POST"),
        (Method::GET, order.to_vec(), 400, "method: GET for a class that is not safe to repeat"),
        (
            Method::POST,
            [&order[..], &[("transfer-encoding", "chunked")]].concat(),
            411,
            "transfer-encoding: instead of a content-length",
        ),
        (Method::POST, replaced("x-trace-id", None), 400, "x-trace-id: is missing"),
        (Method::POST, replaced("x-trace-id", Some("")), 400, "x-trace-id: is missing"),
        (Method::POST, replaced("x-qos", None), 400, "x-qos: is missing"),
        (Method::POST, replaced("x-qos", Some("buy")), 400, "x-qos: is not a known class"),
        (Method::POST, replaced("idempotency-key", None), 400, "idempotency-key: is missing"),
        (Method::POST, [&order[..], &order[1..2]].concat(), 400, "x-qos: is there twice"),
        (Method::POST, replaced("x-qos", Some("\u{e9}")), 400, "x-qos: is not plain text"),
        (
            Method::POST,
            [&order[..], &[("x-expires-in-ms", "-1")]].concat(),
            400,
            "x-expires-in-ms: is not a whole number",
        ),
        (
            Method::POST,
            [&order[..], &[("x-expires-in-ms", "1.5")]].concat(),
            400,
            "x-expires-in-ms: is not a whole number",
        ),
    ] {
        assert_eq!(head(method, &headers).expect_err("malformed"), (status, fault.to_string()));
    }
}

#[test]
fn executions_carry_the_query_on() {
    let server = "127.0.0.1:8443".parse().expect("an address");
    let headers = [
        ("x-trace-id", "1"),
        ("x-qos", "order"),
        ("idempotency-key", "k"),
        ("x-expires-in-ms", "480"),
        ("host", "api.internal"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("expect", "100-continue"),
        ("x-props", "a=1"),
    ];
    let query = head(Method::POST, &headers).expect("a query").with_body(Bytes::from_static(b"body"));
    let request = execution::encode_execution(&query, server, 399_999);
    assert_eq!((request.method(), request.uri().to_string().as_str()), (&Method::POST, "/api?x=1"));
    for (name, value) in [
        ("x-trace-id", Some("1")),
        ("idempotency-key", Some("k")),
        ("x-expires-in-ms", Some("399")),
        ("host", Some("127.0.0.1:8443")),
        ("content-length", Some("4")),
        ("x-props", Some("a=1")),
        ("connection", None),
        ("x-hop", None),
        ("expect", None),
    ] {
        let sent = request.headers().get(name).map(|value| value.to_str().expect("text"));
        assert_eq!(sent, value, "{name}");
    }
}

#[test]
fn replies_are_told_apart() {
    let reply = |status: u16, headers: &[(&str, &str)]| {
        let mut response = Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        Reply::decode(
            response.body(Bytes::from_static(b"x")).expect("a response"),
            &deployment().load_columns,
        )
    };
    let never_ran = [("x-never-ran", "1")];
    for (status, headers, outcome) in [
        (200, &[][..], Outcome::Completed),
        (201, &[], Outcome::Error),
        (400, &[], Outcome::ClientError),
        (404, &[], Outcome::ClientError),
        (408, &[], Outcome::Error),
        (429, &never_ran, Outcome::Error),
        (500, &never_ran, Outcome::Error),
        (503, &[], Outcome::Error),
        (503, &[("x-never-ran", "0")], Outcome::Error),
        (503, &never_ran, Outcome::Rejected),
        (504, &never_ran, Outcome::Rejected),
    ] {
        let reply = reply(status, headers);
        assert_eq!((reply.outcome, reply.response.is_some()), (outcome, status == 200), "{status}");
    }
    for (header, utilization, throughput) in [
        ("TEXT inflight=7, util=0.61, qps=12", Some(0.61), Some(12.0)),
        ("TEXT throughput=3.5,utilization=1", Some(1.0), Some(3.5)),
        ("TEXT util=NaN, qps=-1", None, None),
        ("TEXT util=, qps, =3,,", None, None),
        ("JSON {}", None, None),
    ] {
        let report = reply(500, &[("endpoint-load-metrics", header)]).report;
        assert_eq!((report.utilization, report.throughput), (utilization, throughput), "{header}");
    }
    // What a server holds is read by the columns that the settings name; what waits there stands in for it.
    let columns = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    for (named, text, held) in [
        (columns(&["outstanding", "backlog"]), "TEXT queue=2, inflight=7", Some(7.0)),
        (columns(&["outstanding", "backlog"]), "TEXT inflight=7, queue=2", Some(7.0)),
        (columns(&["backlog"]), "TEXT inflight=7, queue=2", Some(2.0)),
        (columns(&["throughput"]), "TEXT inflight=7, queue=2", None),
        (columns(&["outstanding"]), "TEXT inflight=-7", None),
    ] {
        let probed = Response::new(Bytes::from_static(text.as_bytes()));
        assert_eq!(Reply::decode_probe(probed, &named).1.queries_at_server, held, "{named:?} {text}");
    }
    // A bad report beside a good one spoils neither that nor the answer.
    let reply = reply(200, &[("endpoint-load-metrics", "%%%"), ("endpoint-load-metrics", "TEXT qps=2")]);
    assert_eq!((reply.outcome, reply.report.throughput), (Outcome::Completed, Some(2.0)));
    let probed = Response::new(Bytes::from_static(b"TEXT util=0.5"));
    assert_eq!(Reply::decode_probe(probed, &deployment().load_columns).1.utilization, Some(0.5));
}

#[test]
fn answers_are_written() {
    let headers =
        http::HeaderMap::from_iter([("x-kept".parse().expect("a name"), "1".parse().expect("a value"))]);
    let served = ServerResponse { headers, body: Bytes::from_static(b"body") };
    for (answer, status, retry_after, text) in [
        (Answer::Completed(served), StatusCode::OK, None, "body"),
        (Answer::Rejected(0), StatusCode::SERVICE_UNAVAILABLE, None, "rejected\n"),
        (Answer::Rejected(600_000), StatusCode::SERVICE_UNAVAILABLE, Some("0.600"), "rejected\n"),
        (Answer::Aborted(AbortReason::Failed), StatusCode::BAD_GATEWAY, None, "aborted\n"),
        (
            Answer::Aborted(AbortReason::OutOfTime),
            StatusCode::GATEWAY_TIMEOUT,
            None,
            "aborted: out of time\n",
        ),
        (
            Answer::Aborted(AbortReason::ServerUnresponsive),
            StatusCode::GATEWAY_TIMEOUT,
            None,
            "aborted: its server is silent\n",
        ),
    ] {
        let (parts, body) = answer.encode().into_parts();
        let written = parts.headers.get("retry-after").map(|value| value.to_str().expect("text"));
        assert_eq!((parts.status, written), (status, retry_after));
        assert_eq!(parts.headers.contains_key("x-kept"), status == StatusCode::OK);
        let mut body = std::pin::pin!(body.collect());
        let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
        let std::task::Poll::Ready(Ok(body)) = body.as_mut().poll(&mut cx) else { panic!("not whole") };
        assert_eq!(body.to_bytes(), text);
    }
}

#[test]
fn lists_are_read_entry_by_entry() {
    let whole = r#""hostPort": "10.1.0.18:8443", "zone": "a", "machineType": "m2", "cell": 3"#;
    for (entry, read) in [
        (
            format!(
                r#"{{"instanceId": "s", {whole}, "lifecycle": "ready", "weight": 2.5, "startedAtMs": 7}}"#
            ),
            Ok((EndpointState::Ready, 2.5, 7000)),
        ),
        (
            format!(r#"{{"instanceId": "s", {whole}, "lifecycle": "draining", "weight": -1}}"#),
            Ok((EndpointState::Draining, 1.0, 0)),
        ),
        (r#"{"instanceId": "s", "lifecycle": "gone"}"#.to_string(), Ok((EndpointState::Gone, 1.0, 0))),
        (r#"{"instanceId": "s", "lifecycle": "ready"}"#.to_string(), Err("s: hostPort: no address and port")),
        (
            r#"{"instanceId": "s", "hostPort": "upstream:80", "lifecycle": "ready"}"#.to_string(),
            Err("s: hostPort: no address and port"),
        ),
        (
            format!(r#"{{"instanceId": "s", {whole}, "lifecycle": "asleep"}}"#),
            Err("s: lifecycle: unknown: \"asleep\""),
        ),
        ("7".to_string(), Err("invalid type: integer `7`, expected struct Instance")),
    ] {
        let good = r#"{"instanceId": "other", "hostPort": "[::1]:1", "lifecycle": "ready", "more": {}}"#;
        let line = format!(r#"{{"generation": 41, "reset": true, "instances": [{entry}, {good}]}}"#);
        let update = EndpointUpdate::decode(line.as_bytes()).expect("a list");
        assert_eq!(
            (update.generation, update.is_complete, update.servers.last().map(|s| s.name.as_str())),
            (41, true, Some("other"))
        );
        match read {
            Ok(read) => {
                let server = &update.servers[0];
                assert_eq!((server.state, server.relative_capacity, server.started_at), read, "{entry}");
                assert!(update.errors.is_empty());
            }
            Err(fault) => assert_eq!(update.errors, [fault], "{entry}"),
        }
    }
    for line in ["", "{}", "[]", r#"{"generation": 1}"#, r#"{"generation": -1, "instances": []}"#, "{\"gener"]
    {
        assert!(EndpointUpdate::decode(line.as_bytes()).is_err(), "{line}");
    }
}
