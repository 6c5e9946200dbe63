use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::thread;

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn exchange_works_on_a_socket_without_tcp_options() {
    let (client_socket, mut server_socket) = UnixStream::pair().expect("a pair");
    client_socket.set_nonblocking(true).expect("nonblocking");
    let socket =
        TcpStream::from_std(std::net::TcpStream::from(OwnedFd::from(client_socket))).expect("a socket");
    assert!(socket.set_nodelay(true).is_err(), "the test needs a socket that refuses the option");
    let server = thread::spawn(move || {
        let mut buffer = [0; 4096];
        let read = server_socket.read(&mut buffer).expect("a request");
        server_socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").expect("written");
        read
    });
    let settings = PoolSettings {
        max_connections: 1,
        server_idle_timeout: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(60),
        stall_timeout: Duration::from_secs(60),
        reuse_delay: Duration::ZERO,
        memory_budget: MemoryBudget::new(1024, 1024),
    };
    let request = Request::get("/").header("host", "a").body(Full::default()).expect("a request");
    let mut connection = ServerConnection::open(socket).await.expect("a connection");
    let response =
        connection.exchange(request, &settings, &ProgressHandle::default()).await.expect("an answer");
    assert_eq!(response.into_body(), "hi");
    assert!(server.join().expect("the server ends") > 0);
}
