//! Exchanges with a scripted server: progress of failed requests and reuse of pool.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use whinspindle_upstream_pool::{
    ConnectionPool, ExchangeError, MemoryBudget, PoolSettings, Progress, ProgressHandle, Upstream,
};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
const OK_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
const LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n\
    ----------------------------------------------------------------------";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi";
const TOO_LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nhi";
const TWO_LENGTHS: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
const UNFINISHED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-pad: p\r\n";
const INFORMATIONAL: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
    HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
const DUPLICATE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
const MALFORMED: &str = "HTTP/1.1 lots\r\n\r\n";

/// Starts a server that answers each request with the next reply and then keeps (`true`) or closes the
/// connection. Reports the connection number and size of each request, and each close of a connection.
fn server(replies: Vec<(&'static str, bool)>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, events) = channel();
    thread::spawn(move || {
        let mut replies = replies.into_iter();
        for (number, socket) in listener.incoming().enumerate() {
            let mut socket = socket.expect("a connection");
            while let Some(size) = request(&mut socket) {
                let _ = sender.send(format!("{number}: {size} bytes"));
                let Some((reply, keeps_open)) = replies.next() else { return };
                socket.write_all(reply.as_bytes()).expect("written");
                if !keeps_open {
                    break;
                }
            }
            drop(socket);
            let _ = sender.send(format!("{number}: end"));
        }
    });
    (address, events)
}

/// Reads one request and returns its size; `None` if the connection was closed.
fn request(socket: &mut TcpStream) -> Option<usize> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match socket.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
        if bytes.ends_with(b"\r\n\r\nbody") {
            return Some(bytes.len());
        }
    }
}

fn pool(max_connections: usize, server_idle_timeout: Duration) -> ConnectionPool {
    ConnectionPool::new(PoolSettings { max_connections, server_idle_timeout, ..settings() })
}

fn settings() -> PoolSettings {
    let connect_timeout = Duration::from_secs(5);
    PoolSettings {
        max_connections: 4,
        server_idle_timeout: LONG_IDLE,
        connect_timeout,
        stall_timeout: Duration::from_millis(20),
        reuse_delay: Duration::ZERO,
        memory_budget: MemoryBudget::new(64, 0),
    }
}

const LONG_IDLE: Duration = Duration::from_secs(3600);

async fn exchange(
    pool: &ConnectionPool,
    server: SocketAddr,
    is_needed: bool,
    progress: &ProgressHandle,
) -> Result<Response<Bytes>, ExchangeError> {
    let request = Request::post("/api?x=1").header("host", "upstream").header("content-length", 4);
    let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
    let server = Upstream { address: server, process: 1 };
    pool.exchange(server, || is_needed.then_some(request), progress).await
}

fn run<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(future)
}

#[test]
fn errors_report_the_progress_of_the_request() {
    // The listener is dropped at once, so that connections are refused.
    let refused = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    for (reply, keeps_open, is_needed, progress, message) in [
        (None, false, true, Progress::NotStarted, "connect: "),
        (Some(OK), true, false, Progress::NotStarted, "request no longer needed"),
        (Some(""), false, true, Progress::Complete, "connection: "),
        (Some(TRUNCATED), false, true, Progress::Complete, "connection: "),
        (Some(MALFORMED), true, true, Progress::Complete, "connection: "),
        (Some(LONG), true, true, Progress::Complete, "response too long"),
        (Some(TOO_LONG), true, true, Progress::Complete, "response too long: 3000000000 bytes"),
        (Some(TWO_LENGTHS), true, true, Progress::Complete, "response with conflicting lengths"),
        // The connection stays open without further data.
        (Some(TRUNCATED), true, true, Progress::Complete, "response stalled"),
        (Some(UNFINISHED_HEAD), true, true, Progress::Complete, "response stalled"),
    ] {
        run(async {
            let address = reply.map_or(refused, |reply| server(vec![(reply, keeps_open)]).0);
            let handle = ProgressHandle::default();
            let failure = exchange(&pool(4, LONG_IDLE), address, is_needed, &handle).await;
            let failure = failure.expect_err("a failure");
            assert_eq!((failure.progress, handle.progress()), (progress, progress), "{reply:?}");
            assert!(failure.to_string().starts_with(message), "{reply:?}: {failure}");
            assert_eq!(failure.is_local(), !is_needed);
        });
    }
}

#[test]
fn fresh_connections_are_reused() {
    for (first, idle_time, second) in [
        ((OK, true), LONG_IDLE, "0"),
        ((OK, true), Duration::ZERO, "1"),
        ((OK_CLOSE, false), LONG_IDLE, "1"),
        // The server closes the connection after its response without announcing it.
        ((OK, false), LONG_IDLE, "1"),
        ((INFORMATIONAL, true), LONG_IDLE, "0"),
        // Data after a response belongs to no request, so that the connection is closed.
        ((DUPLICATE, true), LONG_IDLE, "1"),
    ] {
        run(async {
            let (address, events) = server(vec![first, (OK, true)]);
            let pool = pool(4, idle_time);
            let handle = ProgressHandle::default();
            let response = exchange(&pool, address, true, &handle).await.expect("a response");
            assert_eq!((response.body().as_ref(), handle.progress()), (&b"hi"[..], Progress::Complete));
            if idle_time.is_zero() {
                pool.close_expired();
                assert_eq!(pool.open_connections(), 0);
            }
            if !first.1 {
                while !events.recv().expect("an event").ends_with("end") {}
            }
            exchange(&pool, address, true, &ProgressHandle::default()).await.expect("a response");
            let mut requests = events.iter().filter(|event| event.ends_with("bytes"));
            let request_event = requests.nth(usize::from(first.1)).expect("a request");
            assert!(request_event.starts_with(second), "{first:?} {idle_time:?}: {request_event}");
        });
    }
}

#[test]
fn response_without_length_ends_with_a_close_but_not_with_a_reset() {
    for resets in [false, true] {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            thread::spawn(move || {
                let (mut socket, _) = listener.accept().expect("a connection");
                // Closing a socket with unread bytes resets the connection.
                if resets {
                    socket.read_exact(&mut [0; 8]).expect("some of the request");
                    while socket.peek(&mut [0; 8]).is_ok_and(|available| available == 0) {}
                } else {
                    request(&mut socket);
                }
                socket.write_all(b"HTTP/1.1 200 OK\r\n\r\nhi").expect("written");
            });
            let response = exchange(&pool(4, LONG_IDLE), address, true, &ProgressHandle::default()).await;
            match response {
                Ok(response) => assert!(!resets && response.body() == "hi"),
                Err(failure) => assert!(resets && failure.progress == Progress::Complete, "{failure}"),
            }
        });
    }
}

#[test]
fn late_second_response_is_not_taken_for_the_next_one() {
    const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
    // The server sends a second response to the first request once another request arrives on the connection.
    for (reuse_delay, body) in [(LONG_IDLE, "hi"), (Duration::ZERO, "no")] {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            thread::spawn(move || {
                for socket in listener.incoming() {
                    let mut socket = socket.expect("a connection");
                    thread::spawn(move || {
                        request(&mut socket);
                        socket.write_all(OK.as_bytes()).expect("written");
                        request(&mut socket);
                        let _ = socket.write_all(SECOND.as_bytes());
                    });
                }
            });
            let pool = ConnectionPool::new(PoolSettings { reuse_delay, ..settings() });
            exchange(&pool, address, true, &ProgressHandle::default()).await.expect("a response");
            let response = exchange(&pool, address, true, &ProgressHandle::default()).await;
            assert_eq!(response.expect("a response").body(), body, "{reuse_delay:?}");
        });
    }
}

#[test]
fn broken_reused_connection_is_reported_as_stale() {
    // The last reply: a close without a byte, a close within a response, or an invalid response.
    for (replies, expected) in [
        (vec![(OK, true), ("", false)], (true, false)),
        (vec![(OK, true), (TRUNCATED, false)], (false, true)),
        (vec![(MALFORMED, true)], (false, true)),
        (vec![("", false)], (false, false)),
    ] {
        run(async {
            let count = replies.len();
            let (address, _events) = server(replies.clone());
            let pool = pool(4, LONG_IDLE);
            for _ in 1..count {
                exchange(&pool, address, true, &ProgressHandle::default()).await.expect("a response");
            }
            let failure = exchange(&pool, address, true, &ProgressHandle::default()).await;
            let failure = failure.expect_err("a failure");
            assert_eq!((failure.is_stale_connection, failure.response_started), expected, "{replies:?}");
            assert_eq!(failure.progress, Progress::Complete);
        });
    }
}

#[test]
fn long_responses_need_memory_budget() {
    for (total_bytes, fits) in [(400, true), (200, false)] {
        run(async {
            let (address, _events) = server(vec![(LONG, true)]);
            let pool = ConnectionPool::new(PoolSettings {
                memory_budget: MemoryBudget::new(64, total_bytes),
                ..settings()
            });
            let response = exchange(&pool, address, true, &ProgressHandle::default()).await;
            assert_eq!(response.map_or(0, |response| response.body().len()), if fits { 70 } else { 0 });
        });
    }
}

#[test]
fn new_process_at_an_address_gets_its_own_connections() {
    run(async {
        let (address, events) = server(vec![(OK, true), (OK, true)]);
        let pool = pool(4, LONG_IDLE);
        for process in [1, 2] {
            let request = Request::post("/api").header("content-length", 4);
            let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
            let upstream = Upstream { address, process };
            let handle = ProgressHandle::default();
            // The scripted server handles one connection at a time.
            let exchange = pool.exchange(upstream, || Some(request), &handle);
            let _ = tokio::time::timeout(Duration::from_millis(200), exchange).await;
            let event = events.try_iter().next().unwrap_or_default();
            assert_eq!(event.starts_with("0:"), process == 1, "{process}: {event}");
        }
    });
}

#[test]
fn request_size_is_known_before_it_is_written() {
    // The progress must be complete exactly at the last byte, so the size must be equal to what hyper writes.
    run(async {
        let (address, events) = server(vec![(OK, true)]);
        exchange(&pool(4, LONG_IDLE), address, true, &ProgressHandle::default()).await.expect("a response");
        let size = "POST /api?x=1 HTTP/1.1\r\nhost: upstream\r\ncontent-length: 4\r\n\r\nbody".len();
        assert_eq!(events.recv().expect("an event"), format!("0: {size} bytes"));
    });
}

#[test]
fn dropped_exchange_closes_its_connection() {
    run(async {
        let (address, events) = server(vec![("", true)]);
        let pool = pool(4, LONG_IDLE);
        let handle = ProgressHandle::default();
        {
            let exchange = exchange(&pool, address, true, &handle);
            let mut exchange = std::pin::pin!(exchange);
            while handle.progress() != Progress::Complete {
                let step = tokio::time::timeout(Duration::from_millis(1), exchange.as_mut()).await;
                assert!(step.is_err(), "no answer was written");
            }
        }
        assert_eq!(pool.open_connections(), 0);
        assert_eq!(events.iter().nth(1).expect("an event"), "0: end");
        assert_eq!(handle.progress(), Progress::Complete);
    });
}

#[test]
fn full_pool_closes_the_oldest_idle_connection() {
    run(async {
        let servers: Vec<_> = (0..3).map(|_| server(vec![(OK, true), (OK, true)])).collect();
        let pool = pool(2, LONG_IDLE);
        for (address, _) in &servers {
            exchange(&pool, *address, true, &ProgressHandle::default()).await.expect("a response");
        }
        assert_eq!(pool.open_connections(), 2);
        // The first connection, idle for longest, was closed; the others are reused.
        assert_eq!(servers[0].1.iter().nth(1).expect("an event"), "0: end");
        exchange(&pool, servers[1].0, true, &ProgressHandle::default()).await.expect("a response");
        let full_pool = ConnectionPool::new(PoolSettings { max_connections: 0, ..settings() });
        let failure = exchange(&full_pool, servers[2].0, true, &ProgressHandle::default())
            .await
            .expect_err("no free connection");
        assert!(failure.is_local() && failure.progress == Progress::NotStarted);
    });
}
