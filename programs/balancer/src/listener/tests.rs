use std::io::{Read, Write};

use futures_util::FutureExt;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::task::LocalSet;
use whinspindle_protocol::answer::plain;

use super::*;

/// A connection as a sweep sees it: what it did so many milliseconds ago.
fn client(idle: Option<u64>, no_request_yet: bool, heard: Option<u64>, closing: Option<u64>) -> Rc<Client> {
    let ago = |ms: Option<u64>| ms.map(|ms| Instant::now() - Duration::from_millis(ms));
    let meter = Rc::new(Meter::default());
    meter.first_received_at.set(ago(heard));
    Rc::new(Client {
        idle_since: Cell::new(ago(idle)),
        no_request_yet: Cell::new(no_request_yet),
        meter,
        closing: Cell::new(ago(closing)),
        close: Notify::new(),
        drop: Notify::new(),
        is_lingering: Cell::default(),
    })
}

#[test]
fn idle_connections_and_endless_requests_time_out() {
    for (idle, no_request_yet, heard, closing, (closed, dropped)) in [
        (Some(1_000), true, None, None, (false, false)),
        (Some(2_000), true, None, None, (false, true)),
        (Some(2_000), true, Some(10), None, (false, true)),
        (Some(9_000), false, None, None, (false, false)),
        (Some(9_000), false, Some(1_000), None, (false, false)),
        (Some(9_000), false, Some(2_000), None, (false, true)),
        (Some(10_000), false, None, None, (true, false)),
        // Told to close, and its answer not read.
        (Some(10_000), false, None, Some(1_000), (false, false)),
        (Some(10_000), false, None, Some(2_000), (false, true)),
        // It was told to close long before it got the answer that it was owed.
        (Some(100), false, None, Some(9_000), (false, false)),
        // While a query is in hand its own time counts.
        (None, false, Some(30_000), Some(30_000), (false, false)),
    ] {
        let client = client(idle, no_request_yet, heard, closing);
        let connections = ClientConnections::default();
        connections.open.borrow_mut().insert(1, Rc::clone(&client));
        connections.sweep(Duration::from_secs(10));
        let notified = (client.close.notified().now_or_never(), client.drop.notified().now_or_never());
        let notified = (notified.0.is_some(), notified.1.is_some());
        assert_eq!(notified, (closed, dropped), "{idle:?} {no_request_yet} {heard:?} {closing:?}");
    }
}

#[test]
fn at_the_limit_connections_without_a_request_close_first() {
    let clients = [
        client(Some(9_000), false, None, None),
        client(Some(300), true, None, None),
        client(Some(900), true, None, None),
        client(Some(0), true, None, None),
        client(None, false, None, None),
    ];
    // It has only just come, however slow this test is.
    clients[3].idle_since.set(Some(Instant::now() + Duration::from_secs(3600)));
    let connections = ClientConnections::default();
    connections.open.borrow_mut().extend((0..).zip(clients.iter().map(Rc::clone)));
    for next in [2, 1, 0, 3] {
        connections.close_longest_idle();
        let closing = (0..5).filter(|&i| clients[i].close.notified().now_or_never().is_some());
        assert_eq!(closing.collect::<Vec<_>>(), [next]);
    }
}

/// All the others are told to close and end slowly: with half a query, and with an answer on its way.
fn slowly_closing(newest: &Rc<Client>) -> ClientConnections {
    let half = client(Some(1_000), true, Some(900), Some(500));
    let answered = client(None, false, Some(900), Some(500));
    let connections = ClientConnections::default();
    connections.open.borrow_mut().extend((0..).zip([half, answered, Rc::clone(newest)]));
    connections
}

#[test]
fn the_newest_connection_is_exempt_if_no_other_can_be_closed() {
    let is_closing = |newest: &Rc<Client>| newest.close.notified().now_or_never().is_some();
    let newest = client(Some(0), true, None, None);
    // It has only just come, however slow this test is.
    newest.idle_since.set(Some(Instant::now() + Duration::from_secs(3600)));
    let connections = slowly_closing(&newest);
    let exempt_until = newest.idle_since.get().map(|came| came + SWEEP_INTERVAL);
    assert_eq!(connections.close_longest_idle(), exempt_until);
    assert!(!is_closing(&newest) && newest.closing.get().is_none());
    // Its time is over.
    newest.idle_since.set(Some(Instant::now() - SWEEP_INTERVAL));
    assert_eq!(connections.close_longest_idle(), None);
    assert!(is_closing(&newest));
    // One that has asked before, and one whose query has begun and is waited for all the same.
    for newest in [client(Some(0), false, None, None), client(Some(0), true, Some(0), None)] {
        assert_eq!(slowly_closing(&newest).close_longest_idle(), None);
        assert!(is_closing(&newest));
    }
    // Another has come behind it.
    let newest = client(Some(0), true, None, None);
    let connections = slowly_closing(&newest);
    connections.open.borrow_mut().insert(3, client(Some(0), true, None, None));
    assert_eq!(connections.close_longest_idle(), None);
    assert!(is_closing(&newest));
}

#[tokio::test(flavor = "current_thread")]
async fn a_silent_newest_connection_is_exempt_for_a_limited_time() {
    let newest = client(Some(0), true, None, None);
    newest.idle_since.set(Some(Instant::now() + Duration::from_millis(50)));
    let connections = slowly_closing(&newest);
    // Nobody ends, and nothing is told that would wake it.
    timeout(Duration::from_secs(30), connections.wait_for_capacity())
        .await
        .expect("it waits for an end that never comes");
    assert!(newest.closing.get().is_none());
    assert!(Some(Instant::now()) >= newest.first_request_deadline());
    assert_eq!(connections.close_longest_idle(), None);
    assert!(newest.close.notified().now_or_never().is_some());
}

#[tokio::test(flavor = "current_thread")]
async fn a_query_that_has_come_is_answered_though_its_connection_is_to_close() {
    for sent in ["GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n", ""] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("a connection");
        client.write_all(sent.as_bytes()).expect("written");
        let connections = Rc::new(ClientConnections::default());
        let services = tower::service_fn(|_| async { Ok(http_service::rejected_unseen()) });
        LocalSet::new()
            .run_until(async {
                let (socket, _) = listener.accept().await.expect("a connection");
                serve(1, socket, services, &connections);
                connections.close_idle();
                connections.all_ended().await;
            })
            .await;
        let mut answer = String::new();
        // What was not whole may be reset.
        let _ = client.read_to_string(&mut answer);
        assert_eq!(answer.starts_with("HTTP/1.1 503"), sent.ends_with("\r\n\r\n"), "{sent:?}: {answer}");
    }
}

fn reply(text: &str) -> Reply {
    plain(StatusCode::OK, text.to_string()).map(|body| body.map_err(Into::into).boxed_unsync())
}

/// A listener, and a client that is in the middle of connecting: it has not been accepted yet.
async fn pair() -> (TcpListener, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address"));
    (listener, client.expect("a connection"))
}

/// Waits until it is so; the bound is for what never comes.
async fn until(mut is_so: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < Duration::from_secs(30), "it does not come");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Serves one client in the order that the script tells.
fn play<S, F>(services: S, script: impl FnOnce(std::net::TcpStream, Rc<ClientConnections>) -> F)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (listener, client) = pair().await;
        let connections = Rc::new(ClientConnections::default());
        serve(1, listener.accept().await.expect("accepted").0, services, &connections);
        script(client, connections).await;
    });
}

const QUERY: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Counts its drops.
struct DropCounter(Rc<Cell<u32>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

#[test]
fn a_disconnect_is_noticed_whatever_the_client_has_pipelined() {
    for behind in [String::new(), "\r\n".into(), "GET".into(), QUERY.repeat(3), "x".repeat(20_000)] {
        let (begun, dropped) = <(Rc<Cell<u32>>, Rc<Cell<u32>>)>::default();
        let (begins, drops) = (Rc::clone(&begun), Rc::clone(&dropped));
        let services = tower::service_fn(move |_| {
            begins.set(begins.get() + 1);
            let query = DropCounter(Rc::clone(&drops));
            async move {
                let _query = query;
                std::future::pending().await
            }
        });
        play(services, |mut client, connections| async move {
            client.write_all(QUERY.as_bytes()).expect("written");
            until(|| begun.get() == 1).await;
            client.write_all(behind.as_bytes()).expect("written");
            drop(client);
            until(|| dropped.get() == 1 && connections.count() == 0).await;
            assert_eq!(begun.get(), 1, "what came behind is begun though its client has left");
        });
    }
}

#[test]
fn a_query_that_comes_as_its_connection_is_dropped_is_answered() {
    // The order to drop it, decided before, meets a query that has just been taken.
    let place: Rc<RefCell<Option<Rc<ClientConnections>>>> = Rc::default();
    let orders = Rc::clone(&place);
    let services = tower::service_fn(move |_| {
        let connections = orders.borrow();
        let open = connections.as_ref().expect("set").open.borrow();
        open.values().for_each(|client| client.drop.notify_one());
        async {
            sleep(Duration::from_millis(1)).await;
            Ok(reply("kept"))
        }
    });
    play(services, |mut client, connections| async move {
        place.replace(Some(Rc::clone(&connections)));
        client.write_all(QUERY.as_bytes()).expect("written");
        client.set_nonblocking(true).expect("non-blocking");
        let mut answer = Vec::new();
        until(|| {
            let mut chunk = [0; 1024];
            let read = client.read(&mut chunk);
            assert!(!matches!(read, Ok(0)), "the connection ended without an answer");
            answer.extend_from_slice(&chunk[..read.unwrap_or(0)]);
            answer.ends_with(b"kept\n")
        })
        .await;
        place.take();
    });
}

#[test]
fn a_query_half_read_as_its_connection_is_to_close_is_answered() {
    for first in [false, true] {
        let services = tower::service_fn(|_| async { Ok(reply("whole")) });
        play(services, |mut client, connections| async move {
            client.set_nonblocking(true).expect("non-blocking");
            let mut answer = Vec::new();
            let mut read_to = |client: &mut std::net::TcpStream, ends: usize| {
                let mut chunk = [0; 1024];
                let read = client.read(&mut chunk).unwrap_or(0);
                answer.extend_from_slice(&chunk[..read]);
                String::from_utf8_lossy(&answer).matches("whole\n").count() == ends
            };
            if !first {
                client.write_all(QUERY.as_bytes()).expect("written");
                until(|| read_to(&mut client, 1)).await;
            }
            client.write_all(&QUERY.as_bytes()[..20]).expect("written");
            until(|| connections.open.borrow().values().all(|client| client.has_partial_request())).await;
            connections.close_idle();
            // It has seen the order, and all that it does at once.
            for _ in 0..100 {
                yield_now().await;
            }
            client.write_all(&QUERY.as_bytes()[20..]).expect("the connection is still there");
            until(|| read_to(&mut client, if first { 1 } else { 2 })).await;
            until(|| connections.count() == 0).await;
        });
    }
}

#[test]
fn the_last_answer_is_complete_despite_pipelined_bytes() {
    const LONG: usize = 600 * 1024;
    let services = tower::service_fn(|_| async {
        let mut reply = reply(&"x".repeat(LONG));
        reply.headers_mut().insert("connection", http::HeaderValue::from_static("close"));
        Ok(reply)
    });
    play(services, |mut client, connections| async move {
        client.write_all((QUERY.to_string() + &"y".repeat(100_000)).as_bytes()).expect("written");
        // It reads nothing until the connection is done with.
        until(|| connections.count() == 0).await;
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).expect("no reset");
        assert!(answer.len() > LONG, "{} bytes", answer.len());
    });
}

#[tokio::test(flavor = "current_thread")]
async fn connections_pending_when_the_listener_closes_are_served() {
    let (listener, _first) = pair().await;
    let address = listener.local_addr().expect("an address");
    let _second = std::net::TcpStream::connect(address).expect("a connection");
    // The runtime has not looked at its sockets since they came.
    assert_eq!(close_listener(listener).len(), 2);
    assert!(std::net::TcpStream::connect(address).is_err(), "nobody listens any more");
}
