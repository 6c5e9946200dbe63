//! Endpoints, the text of the metrics, and what a scrape gets.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};
use whinspindle_metrics::{Figures, MetricsEndpoint, serve};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[test]
fn an_endpoint_is_a_port_and_a_path() {
    let endpoint: MetricsEndpoint = "9464/metrics".parse().unwrap();
    assert_eq!(endpoint, MetricsEndpoint { port: 9464, path: "/metrics".to_owned() });
    for wrong in ["", "9464", "9464/", "/metrics", "0/metrics", "70000/metrics", "94x/metrics", "9464/a b"] {
        let error = wrong.parse::<MetricsEndpoint>().unwrap_err();
        assert!(error.to_string().contains("PORT/PATH"), "{wrong}: {error}");
    }
}

#[test]
fn metrics_are_encoded_with_names_labels_and_help() {
    let mut metrics = Figures::default();
    let refused = [("event", "refused")];
    metrics.count("requests", "Requests by their end", [(refused.as_slice(), 3)]);
    metrics.gauge("connections", "Open connections", [([].as_slice(), 2.5)]);
    let text = metrics.into_text();
    assert!(text.contains("# HELP whinspindle_requests Requests by their end"), "{text}");
    assert!(text.contains("whinspindle_requests_total{event=\"refused\"} 3"), "{text}");
    assert!(text.contains("whinspindle_connections{} 2.5"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
}

async fn ask(port: u16, request: &str) -> String {
    let mut socket = loop {
        if let Ok(socket) = TcpStream::connect((LOCAL, port)).await {
            break socket;
        }
        yield_now().await;
    };
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test(flavor = "current_thread")]
async fn a_scrape_gets_a_snapshot_at_its_path_only() {
    // A port that was free a moment ago.
    let free = std::net::TcpListener::bind((LOCAL, 0)).unwrap().local_addr().unwrap().port();
    LocalSet::new()
        .run_until(async move {
            let endpoint = MetricsEndpoint { port: free, path: "/figures".to_owned() };
            spawn_local(serve(LOCAL, endpoint, Rc::new(|| "a 1\n# EOF\n".to_owned())));
            let got = ask(free, "GET /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
            assert!(got.starts_with("HTTP/1.1 200 OK"), "{got}");
            assert!(got.contains("application/openmetrics-text") && got.ends_with("a 1\n# EOF\n"), "{got}");
            let got = ask(free, "GET /other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
            assert!(got.starts_with("HTTP/1.1 404"), "{got}");
            let got = ask(free, "POST /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
            assert!(got.starts_with("HTTP/1.1 405"), "{got}");
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_port_in_use_leaves_the_process_without_metrics() {
    let taken = std::net::TcpListener::bind((LOCAL, 0)).unwrap();
    let endpoint = MetricsEndpoint { port: taken.local_addr().unwrap().port(), path: "/figures".to_owned() };
    LocalSet::new().run_until(serve(LOCAL, endpoint, Rc::new(String::new))).await;
}
