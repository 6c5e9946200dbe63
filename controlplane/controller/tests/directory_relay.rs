//! The directory program forwards requests to the controller on its machine, or to a seed if that one is down.
//! The tests use loopback sockets.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use whinspindle_configuration::Settings;
use whinspindle_controller::run_directory;

const LOCAL_IP: [u8; 4] = [127, 0, 0, 1];
const SEED_IP: [u8; 4] = [127, 0, 0, 2];
/// Upper bound for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"GET /resolve?name=a HTTP/1.1\r\n\r\n";

/// Returns a port that is free on both addresses.
async fn free_port() -> u16 {
    loop {
        let local = TcpListener::bind((IpAddr::from(LOCAL_IP), 0)).await.unwrap();
        let port = local.local_addr().unwrap().port();
        if TcpListener::bind((IpAddr::from(SEED_IP), port)).await.is_ok() {
            return port;
        }
    }
}

fn settings(directory: SocketAddr, control_port: u16) -> Settings {
    let seed = SocketAddr::from((SEED_IP, control_port));
    let text = format!(
        r#"{{"node":"core-1","ip":"127.0.0.1","zone":"a","region":"r","zones":{{"a":"r"}},
        "listen":{{"directory":"{directory}"}},"port_range":[1,2],"seeds":["{seed}"],"heartbeat_ms":1000}}"#
    );
    Settings::parse(text.as_bytes()).unwrap()
}

/// A fake controller that answers every request with its name.
async fn answer_with(listener: TcpListener, name: &'static [u8]) {
    loop {
        let (mut caller, _) = listener.accept().await.unwrap();
        let mut request = [0; REQUEST.len()];
        caller.read_exact(&mut request).await.unwrap();
        assert_eq!(request, REQUEST);
        caller.write_all(name).await.unwrap();
    }
}

/// Returns the answer to a client, which is empty if the connection closes without one.
async fn ask(directory: SocketAddr) -> Vec<u8> {
    let mut connection = loop {
        // The directory may not be listening yet.
        match TcpStream::connect(directory).await {
            Ok(connection) => break connection,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    // Without a reachable controller the directory may close the connection before it reads the request.
    let _ = connection.write_all(REQUEST).await;
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer).await;
    answer
}

/// Sends a request through a directory whose local controller and seed may each be running.
async fn with_controllers(is_local_running: bool, is_seed_running: bool) -> Vec<u8> {
    let control_port = free_port().await;
    let directory = SocketAddr::from((LOCAL_IP, free_port().await));
    for (address, is_running, name) in
        [(LOCAL_IP, is_local_running, b"own ".as_slice()), (SEED_IP, is_seed_running, b"seed".as_slice())]
    {
        if is_running {
            let listener = TcpListener::bind((IpAddr::from(address), control_port)).await.unwrap();
            spawn_local(answer_with(listener, name));
        }
    }
    spawn_local(run_directory(settings(directory, control_port)));
    timeout(REQUEST_TIMEOUT, ask(directory)).await.expect("an answer or a closed connection")
}

#[tokio::test(flavor = "current_thread")]
async fn requests_go_to_the_local_controller_or_else_to_a_seed() {
    let all = async {
        assert_eq!(with_controllers(true, true).await, b"own ");
        assert_eq!(with_controllers(false, true).await, b"seed");
        assert_eq!(with_controllers(false, false).await, b"");
    };
    LocalSet::new().run_until(all).await;
}

#[tokio::test(flavor = "current_thread")]
async fn missing_directory_address_is_reported() {
    let mut settings = settings(SocketAddr::from((LOCAL_IP, 1)), 1);
    settings.listen.directory = None;
    let failure = run_directory(settings).await.unwrap_err();
    assert!(failure.to_string().contains("no directory address"), "{failure}");
}
