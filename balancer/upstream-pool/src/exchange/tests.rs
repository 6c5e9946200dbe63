use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::thread;

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn a_socket_that_knows_no_option_of_tcp_carries_exchanges() {
    let (here, mut there) = UnixStream::pair().expect("a pair");
    here.set_nonblocking(true).expect("nonblocking");
    let socket = TcpStream::from_std(std::net::TcpStream::from(OwnedFd::from(here))).expect("a socket");
    assert!(socket.set_nodelay(true).is_err(), "the test needs a socket that refuses the option");
    let server = thread::spawn(move || {
        let mut piece = [0; 4096];
        let read = there.read(&mut piece).expect("a request");
        there.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").expect("written");
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
