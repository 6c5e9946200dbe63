//! The directory program carries questions to the controller of its machine, else to a seed, over loopback sockets.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use whinspindle_configuration::Settings;
use whinspindle_controller::run_directory;

const OWN: [u8; 4] = [127, 0, 0, 1];
const SEED: [u8; 4] = [127, 0, 0, 2];
/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(10);
const QUESTION: &[u8] = b"GET /resolve?name=a HTTP/1.1\r\n\r\n";

/// A port that is free at both addresses.
async fn free_port() -> u16 {
    loop {
        let own = TcpListener::bind((IpAddr::from(OWN), 0)).await.unwrap();
        let port = own.local_addr().unwrap().port();
        if TcpListener::bind((IpAddr::from(SEED), port)).await.is_ok() {
            return port;
        }
    }
}

fn settings(directory: SocketAddr, control_port: u16) -> Settings {
    let seed = SocketAddr::from((SEED, control_port));
    let text = format!(
        r#"{{"node":"core-1","ip":"127.0.0.1","zone":"a","region":"r","zones":{{"a":"r"}},
        "listen":{{"directory":"{directory}"}},"port_range":[1,2],"seeds":["{seed}"],"heartbeat_ms":1000}}"#
    );
    Settings::parse(text.as_bytes()).unwrap()
}

/// Stands in for a controller that answers with its name.
async fn answer_with(listener: TcpListener, name: &'static [u8]) {
    loop {
        let (mut caller, _) = listener.accept().await.unwrap();
        let mut question = [0; QUESTION.len()];
        caller.read_exact(&mut question).await.unwrap();
        assert_eq!(question, QUESTION);
        caller.write_all(name).await.unwrap();
    }
}

/// What a client is answered; nothing if the connection ends without an answer.
async fn ask(directory: SocketAddr) -> Vec<u8> {
    let mut connection = loop {
        // The program may not listen yet.
        match TcpStream::connect(directory).await {
            Ok(connection) => break connection,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    // With nobody to ask, the connection may be closed before the question is read.
    let _ = connection.write_all(QUESTION).await;
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer).await;
    answer
}

async fn with_controllers(own: bool, seed: bool) -> Vec<u8> {
    let control_port = free_port().await;
    let directory = SocketAddr::from((OWN, free_port().await));
    for (address, is_there, name) in [(OWN, own, b"own ".as_slice()), (SEED, seed, b"seed".as_slice())] {
        if is_there {
            let listener = TcpListener::bind((IpAddr::from(address), control_port)).await.unwrap();
            spawn_local(answer_with(listener, name));
        }
    }
    spawn_local(run_directory(settings(directory, control_port)));
    timeout(PATIENCE, ask(directory)).await.expect("an answer or an end")
}

#[tokio::test(flavor = "current_thread")]
async fn questions_go_to_the_controller_of_the_machine_else_to_a_seed() {
    let all = async {
        assert_eq!(with_controllers(true, true).await, b"own ");
        assert_eq!(with_controllers(false, true).await, b"seed");
        assert_eq!(with_controllers(false, false).await, b"");
    };
    LocalSet::new().run_until(all).await;
}

#[tokio::test(flavor = "current_thread")]
async fn without_an_address_the_program_says_what_is_missing() {
    let mut settings = settings(SocketAddr::from((OWN, 1)), 1);
    settings.listen.directory = None;
    let failure = run_directory(settings).await.unwrap_err();
    assert!(failure.to_string().contains("no directory address"), "{failure}");
}
