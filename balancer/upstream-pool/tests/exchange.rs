//! Exchanges with a scripted server: how far each came, and which connections are used again.

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
const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
const LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n\
    ----------------------------------------------------------------------";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi";
const HUGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nhi";
const TWO_LENGTHS: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
const NO_END: &str = "HTTP/1.1 200 OK\r\nx-pad: p\r\n";
const EARLY: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
    HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
const TWICE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
const BAD: &str = "HTTP/1.1 lots\r\n\r\n";

/// Answers each request with the next of the replies, after which it goes on (`true`) or closes the
/// connection. Tells the number of the connection that each request came on, and each end of a connection.
fn server(replies: Vec<(&'static str, bool)>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, announced) = channel();
    thread::spawn(move || {
        let mut replies = replies.into_iter();
        for (number, socket) in listener.incoming().enumerate() {
            let mut socket = socket.expect("a connection");
            while let Some(size) = request(&mut socket) {
                let _ = tell.send(format!("{number}: {size} bytes"));
                let Some((reply, more)) = replies.next() else { return };
                socket.write_all(reply.as_bytes()).expect("written");
                if !more {
                    break;
                }
            }
            drop(socket);
            let _ = tell.send(format!("{number}: end"));
        }
    });
    (address, announced)
}

/// Reads one request and returns its size.
fn request(socket: &mut TcpStream) -> Option<usize> {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        match socket.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
        if bytes.ends_with(b"\r\n\r\nbody") {
            return Some(bytes.len());
        }
    }
}

fn connections(max_open: usize, idle_time: Duration) -> ConnectionPool {
    ConnectionPool::new(PoolSettings {
        max_connections: max_open,
        server_idle_timeout: idle_time,
        ..settings()
    })
}

fn settings() -> PoolSettings {
    let connect_time_out = Duration::from_secs(5);
    PoolSettings {
        max_connections: 4,
        server_idle_timeout: LONG_IDLE,
        connect_timeout: connect_time_out,
        stall_timeout: Duration::from_millis(20),
        reuse_delay: Duration::ZERO,
        memory_budget: MemoryBudget::new(64, 0),
    }
}

const LONG_IDLE: Duration = Duration::from_secs(3600);

async fn exchange(
    connections: &ConnectionPool,
    server: SocketAddr,
    wanted: bool,
    progress: &ProgressHandle,
) -> Result<Response<Bytes>, ExchangeError> {
    let request = Request::post("/api?x=1").header("host", "upstream").header("content-length", 4);
    let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
    let server = Upstream { address: server, process: 1 };
    connections.exchange(server, || wanted.then_some(request), progress).await
}

fn run<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(future)
}

#[test]
fn a_failure_tells_how_far_it_came() {
    // Nobody listens at a port that has just been given back.
    let refused = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    for (reply, more, wanted, progress, says) in [
        (None, false, true, Progress::NotStarted, "connect: "),
        (Some(OK), true, false, Progress::NotStarted, "wanted no more"),
        (Some(""), false, true, Progress::Complete, "connection: "),
        (Some(CUT), false, true, Progress::Complete, "connection: "),
        (Some(BAD), true, true, Progress::Complete, "connection: "),
        (Some(LONG), true, true, Progress::Complete, "response too long"),
        (Some(HUGE), true, true, Progress::Complete, "response too long: 3000000000 bytes"),
        (Some(TWO_LENGTHS), true, true, Progress::Complete, "response with two kinds of length"),
        // The connection stays open in silence.
        (Some(CUT), true, true, Progress::Complete, "response begun and not ended"),
        (Some(NO_END), true, true, Progress::Complete, "response begun and not ended"),
    ] {
        run(async {
            let address = reply.map_or(refused, |reply| server(vec![(reply, more)]).0);
            let handle = ProgressHandle::default();
            let failure = exchange(&connections(4, LONG_IDLE), address, wanted, &handle).await;
            let failure = failure.expect_err("a failure");
            assert_eq!((failure.progress, handle.progress()), (progress, progress), "{reply:?}");
            assert!(failure.to_string().starts_with(says), "{reply:?}: {failure}");
            assert_eq!(failure.is_local(), !wanted);
        });
    }
}

#[test]
fn connections_are_used_again_while_fresh() {
    for (first, idle_time, second) in [
        ((OK, true), LONG_IDLE, "0"),
        ((OK, true), Duration::ZERO, "1"),
        ((CLOSE, false), LONG_IDLE, "1"),
        // The server closes after its answer without a word.
        ((OK, false), LONG_IDLE, "1"),
        ((EARLY, true), LONG_IDLE, "0"),
        // What comes behind an answer belongs to no request: its connection is closed.
        ((TWICE, true), LONG_IDLE, "1"),
    ] {
        run(async {
            let (address, announced) = server(vec![first, (OK, true)]);
            let connections = connections(4, idle_time);
            let handle = ProgressHandle::default();
            let response = exchange(&connections, address, true, &handle).await.expect("a response");
            assert_eq!((response.body().as_ref(), handle.progress()), (&b"hi"[..], Progress::Complete));
            if idle_time.is_zero() {
                connections.close_expired();
                assert_eq!(connections.open_connections(), 0);
            }
            if !first.1 {
                while !announced.recv().expect("news").ends_with("end") {}
            }
            exchange(&connections, address, true, &ProgressHandle::default()).await.expect("a response");
            let mut requests = announced.iter().filter(|news| news.ends_with("bytes"));
            let on = requests.nth(usize::from(first.1)).expect("a request");
            assert!(on.starts_with(second), "{first:?} {idle_time:?}: {on}");
        });
    }
}

#[test]
fn an_answer_without_length_ends_with_its_connection_and_a_reset_is_no_end() {
    for resets in [false, true] {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            thread::spawn(move || {
                let (mut socket, _) = listener.accept().expect("a connection");
                // A close over bytes that nobody has read is a reset.
                if resets {
                    socket.read_exact(&mut [0; 8]).expect("some of the request");
                    while socket.peek(&mut [0; 8]).is_ok_and(|available| available == 0) {}
                } else {
                    request(&mut socket);
                }
                socket.write_all(b"HTTP/1.1 200 OK\r\n\r\nhi").expect("written");
            });
            let response =
                exchange(&connections(4, LONG_IDLE), address, true, &ProgressHandle::default()).await;
            match response {
                Ok(response) => assert!(!resets && response.body() == "hi"),
                Err(failure) => assert!(resets && failure.progress == Progress::Complete, "{failure}"),
            }
        });
    }
}

#[test]
fn a_second_answer_that_comes_late_is_never_that_to_another_request() {
    const NO: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
    // The server answers the first request again as soon as another one is on that connection.
    for (quiet_time, body) in [(LONG_IDLE, "hi"), (Duration::ZERO, "no")] {
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
                        let _ = socket.write_all(NO.as_bytes());
                    });
                }
            });
            let connections = ConnectionPool::new(PoolSettings { reuse_delay: quiet_time, ..settings() });
            exchange(&connections, address, true, &ProgressHandle::default()).await.expect("a response");
            let response = exchange(&connections, address, true, &ProgressHandle::default()).await;
            assert_eq!(response.expect("a response").body(), body, "{quiet_time:?}");
        });
    }
}

#[test]
fn a_kept_connection_that_breaks_under_a_request_tells_nothing_of_its_server() {
    // The second reply: the connection ends without a byte, in the middle of an answer, or at its begin.
    for (replies, announced) in [
        (vec![(OK, true), ("", false)], (true, false)),
        (vec![(OK, true), (CUT, false)], (false, true)),
        (vec![(BAD, true)], (false, true)),
        (vec![("", false)], (false, false)),
    ] {
        run(async {
            let count = replies.len();
            let (address, _told) = server(replies.clone());
            let connections = connections(4, LONG_IDLE);
            for _ in 1..count {
                exchange(&connections, address, true, &ProgressHandle::default()).await.expect("a response");
            }
            let failure = exchange(&connections, address, true, &ProgressHandle::default()).await;
            let failure = failure.expect_err("a failure");
            assert_eq!((failure.is_stale_connection, failure.response_started), announced, "{replies:?}");
            assert_eq!(failure.progress, Progress::Complete);
        });
    }
}

#[test]
fn long_answers_are_taken_while_there_is_room() {
    for (all, fits) in [(400, true), (200, false)] {
        run(async {
            let (address, _told) = server(vec![(LONG, true)]);
            let connections =
                ConnectionPool::new(PoolSettings { memory_budget: MemoryBudget::new(64, all), ..settings() });
            let response = exchange(&connections, address, true, &ProgressHandle::default()).await;
            assert_eq!(response.map_or(0, |response| response.body().len()), if fits { 70 } else { 0 });
        });
    }
}

#[test]
fn another_process_at_an_address_gets_connections_of_its_own() {
    run(async {
        let (address, announced) = server(vec![(OK, true), (OK, true)]);
        let connections = connections(4, LONG_IDLE);
        for process in [1, 2] {
            let request = Request::post("/api").header("content-length", 4);
            let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
            let upstream = Upstream { address, process };
            let handle = ProgressHandle::default();
            // The scripted server takes one connection at a time.
            let exchange = connections.exchange(upstream, || Some(request), &handle);
            let _ = tokio::time::timeout(Duration::from_millis(200), exchange).await;
            let on = announced.try_iter().next().unwrap_or_default();
            assert_eq!(on.starts_with("0:"), process == 1, "{process}: {on}");
        }
    });
}

#[test]
fn the_size_of_a_request_is_known_before_it_is_written() {
    // The progress is complete at the last byte and not before: the size must be what hyper writes.
    run(async {
        let (address, announced) = server(vec![(OK, true)]);
        exchange(&connections(4, LONG_IDLE), address, true, &ProgressHandle::default())
            .await
            .expect("a response");
        let size = "POST /api?x=1 HTTP/1.1\r\nhost: upstream\r\ncontent-length: 4\r\n\r\nbody".len();
        assert_eq!(announced.recv().expect("news"), format!("0: {size} bytes"));
    });
}

#[test]
fn an_exchange_that_is_dropped_closes_its_connection() {
    run(async {
        let (address, announced) = server(vec![("", true)]);
        let connections = connections(4, LONG_IDLE);
        let handle = ProgressHandle::default();
        {
            let exchange = exchange(&connections, address, true, &handle);
            let mut exchange = std::pin::pin!(exchange);
            while handle.progress() != Progress::Complete {
                let step = tokio::time::timeout(Duration::from_millis(1), exchange.as_mut()).await;
                assert!(step.is_err(), "no answer was written");
            }
        }
        assert_eq!(connections.open_connections(), 0);
        assert_eq!(announced.iter().nth(1).expect("news"), "0: end");
        assert_eq!(handle.progress(), Progress::Complete);
    });
}

#[test]
fn at_the_brim_an_idle_connection_makes_room() {
    run(async {
        let servers: Vec<_> = (0..3).map(|_| server(vec![(OK, true), (OK, true)])).collect();
        let connections = connections(2, LONG_IDLE);
        for (address, _) in &servers {
            exchange(&connections, *address, true, &ProgressHandle::default()).await.expect("a response");
        }
        assert_eq!(connections.open_connections(), 2);
        // The first, idle for longest, was closed; the others are used again.
        assert_eq!(servers[0].1.iter().nth(1).expect("news"), "0: end");
        exchange(&connections, servers[1].0, true, &ProgressHandle::default()).await.expect("a response");
        let none = ConnectionPool::new(PoolSettings { max_connections: 0, ..settings() });
        let failure =
            exchange(&none, servers[2].0, true, &ProgressHandle::default()).await.expect_err("none free");
        assert!(failure.is_local() && failure.progress == Progress::NotStarted);
    });
}
