//! Requests to a status server on a loopback port.

use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use whinspindle_status_server::serve;

/// Starts a server whose response body is the requested path; all paths but `/known` have status 404.
async fn serve_paths() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(serve(
        listener,
        Rc::new(|request| {
            let path = request.uri().path().to_owned();
            let mut response = Response::new(Full::new(Bytes::from(path.clone())));
            if path != "/known" {
                *response.status_mut() = StatusCode::NOT_FOUND;
            }
            response
        }),
    ));
    address
}

/// Sends one request on a new connection and returns the whole response.
async fn send_request(address: std::net::SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).await.unwrap();
    response
}

#[tokio::test]
async fn each_request_receives_its_own_response() {
    LocalSet::new()
        .run_until(async {
            let address = serve_paths().await;
            let known = send_request(address, "/known").await;
            assert!(known.starts_with("HTTP/1.1 200 ") && known.ends_with("\r\n\r\n/known"), "{known}");
            let other = send_request(address, "/other").await;
            assert!(other.starts_with("HTTP/1.1 404 ") && other.ends_with("\r\n\r\n/other"), "{other}");
        })
        .await;
}

#[tokio::test]
async fn idle_connections_do_not_block_other_requests() {
    LocalSet::new()
        .run_until(async {
            let address = serve_paths().await;
            let _idle = TcpStream::connect(address).await.unwrap();
            let mut malformed = TcpStream::connect(address).await.unwrap();
            malformed.write_all(b"\0\0\0\r\n\r\n").await.unwrap();
            assert!(send_request(address, "/known").await.starts_with("HTTP/1.1 200 "));
        })
        .await;
}
