//! The server on a loopback port, with connections of a client's own.

use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use whinspindle_status_server::serve;

/// Answers each path that is asked for by its own name, and all but `/known` with 404.
async fn serve_paths() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(serve(
        listener,
        Rc::new(|request| {
            let path = request.uri().path().to_owned();
            let mut answer = Response::new(Full::new(Bytes::from(path.clone())));
            if path != "/known" {
                *answer.status_mut() = StatusCode::NOT_FOUND;
            }
            answer
        }),
    ));
    address
}

/// What stands in the answer to one request, whose connection then ends.
async fn ask(address: std::net::SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn each_request_gets_the_answer_that_is_made_for_it() {
    LocalSet::new()
        .run_until(async {
            let address = serve_paths().await;
            let known = ask(address, "/known").await;
            assert!(known.starts_with("HTTP/1.1 200 ") && known.ends_with("\r\n\r\n/known"), "{known}");
            let other = ask(address, "/other").await;
            assert!(other.starts_with("HTTP/1.1 404 ") && other.ends_with("\r\n\r\n/other"), "{other}");
        })
        .await;
}

#[tokio::test]
async fn an_idle_connection_delays_no_other() {
    LocalSet::new()
        .run_until(async {
            let address = serve_paths().await;
            let _silent = TcpStream::connect(address).await.unwrap();
            let mut garbled = TcpStream::connect(address).await.unwrap();
            garbled.write_all(b"\0\0\0\r\n\r\n").await.unwrap();
            assert!(ask(address, "/known").await.starts_with("HTTP/1.1 200 "));
        })
        .await;
}
