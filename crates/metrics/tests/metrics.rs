//! Endpoint parsing, OpenMetrics encoding and scrapes over HTTP.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};
use whinspindle_metrics::{MetricsEndpoint, MetricsSnapshot, serve};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[test]
fn parses_an_endpoint_of_port_and_path() {
    let endpoint: MetricsEndpoint = "9464/metrics".parse().unwrap();
    assert_eq!(endpoint, MetricsEndpoint { port: 9464, path: "/metrics".to_owned() });
    for invalid in ["", "9464", "9464/", "/metrics", "0/metrics", "70000/metrics", "94x/metrics", "9464/a b"]
    {
        let error = invalid.parse::<MetricsEndpoint>().unwrap_err();
        assert!(error.to_string().contains("PORT/PATH"), "{invalid}: {error}");
    }
}

#[test]
fn encodes_metrics_with_names_labels_and_help() {
    let mut metrics = MetricsSnapshot::default();
    let refused = [("event", "refused")];
    metrics.add_counter("requests", "Requests by their end", [(refused.as_slice(), 3)]);
    metrics.add_gauge("connections", "Open connections", [([].as_slice(), 2.5)]);
    let text = metrics.into_text();
    assert!(text.contains("# HELP whinspindle_requests Requests by their end"), "{text}");
    assert!(text.contains("whinspindle_requests_total{event=\"refused\"} 3"), "{text}");
    assert!(text.contains("whinspindle_connections{} 2.5"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
}

async fn send_request(port: u16, request: &str) -> String {
    let mut socket = loop {
        if let Ok(socket) = TcpStream::connect((LOCAL, port)).await {
            break socket;
        }
        yield_now().await;
    };
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).await.unwrap();
    response
}

#[tokio::test(flavor = "current_thread")]
async fn serves_a_snapshot_only_at_the_configured_path() {
    // The listener is dropped at once, so the port is free again.
    let free_port = std::net::TcpListener::bind((LOCAL, 0)).unwrap().local_addr().unwrap().port();
    LocalSet::new()
        .run_until(async move {
            let endpoint = MetricsEndpoint { port: free_port, path: "/figures".to_owned() };
            spawn_local(serve(LOCAL, endpoint, Rc::new(|| "a 1\n# EOF\n".to_owned())));
            let response =
                send_request(free_port, "GET /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    .await;
            assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
            assert!(
                response.contains("application/openmetrics-text") && response.ends_with("a 1\n# EOF\n"),
                "{response}"
            );
            let response =
                send_request(free_port, "GET /other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
            assert!(response.starts_with("HTTP/1.1 404"), "{response}");
            let response =
                send_request(free_port, "POST /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    .await;
            assert!(response.starts_with("HTTP/1.1 405"), "{response}");
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn serve_returns_if_the_port_is_in_use() {
    let listener = std::net::TcpListener::bind((LOCAL, 0)).unwrap();
    let endpoint =
        MetricsEndpoint { port: listener.local_addr().unwrap().port(), path: "/figures".to_owned() };
    LocalSet::new().run_until(serve(LOCAL, endpoint, Rc::new(String::new))).await;
}
