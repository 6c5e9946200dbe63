//! The watch against a scripted discovery: delivered updates, and the generation from which it is reopened.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{Instant, advance, pause};
use whinspindle_discovery::{EndpointWatch, run};

fn line(generation: u64) -> String {
    format!(r#"{{"generation": {generation}, "reset": false, "instances": []}}"#)
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn watch_continues_from_the_known_generation() {
    let broken = "{\"generation\": 9, \"instances\": 7}";
    let long = format!("{{\"generation\": 3, \"instances\": [{}]}}", vec!["7"; 30_000].join(","));
    for (known_generation, first_lines, updates, next_target) in [
        (None, vec![line(1)], vec![1], "/v1/servers?watch=1&from=1"),
        (Some(41), vec![], vec![], "/v1/servers?watch=1&from=41"),
        (
            Some(41),
            vec![String::new(), line(42), String::new(), line(43)],
            vec![42, 43],
            "/v1/servers?watch=1&from=43",
        ),
        (Some(1), vec![line(2), "{\"gen".to_string()], vec![2], "/v1/servers?watch=1&from=2"),
        // An invalid line may contain a drain that is not sent again, so the complete list is requested.
        (Some(1), vec![line(2), broken.to_string(), line(10)], vec![2], "/v1/servers?watch=1"),
        (Some(1), vec!["noise".to_string(), line(2)], vec![], "/v1/servers?watch=1"),
        // The same applies after a lower generation.
        (Some(7), vec![line(8), line(6)], vec![8], "/v1/servers?watch=1"),
        // Duplicate updates and white space are accepted.
        (Some(7), vec![line(8), line(8)], vec![8, 8], "/v1/servers?watch=1&from=8"),
        (Some(7), vec![line(8).replace(' ', " \n\n \t")], vec![8], "/v1/servers?watch=1&from=8"),
        (
            Some(7),
            vec![r#"{"generation":8,"instances":[{"instanceId":"}\\\"{["}]}"#.to_string() + &line(9)],
            vec![8, 9],
            "/v1/servers?watch=1&from=9",
        ),
        (Some(2), vec![long], vec![3], "/v1/servers?watch=1&from=3"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, requested_targets) = channel();
        let script = first_lines.clone();
        thread::spawn(move || {
            for (number, socket) in listener.incoming().enumerate() {
                let mut socket = BufReader::new(socket.expect("a connection"));
                let mut target = String::new();
                socket.read_line(&mut target).expect("a request");
                let mut rest = target.clone();
                while rest.trim() != "" {
                    rest.clear();
                    socket.read_line(&mut rest).expect("a header");
                }
                // The chunks end in the middle of a line.
                let body = if number == 0 { script.join("\n") + "\n" } else { String::new() };
                let mut reply = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_string();
                for chunk in body.as_bytes().chunks(1000) {
                    reply += &format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk));
                }
                socket.get_mut().write_all(reply.as_bytes()).expect("written");
                let _ = sender.send(target.split(' ').nth(1).unwrap_or_default().to_string());
            }
        });
        let received = Rc::new(RefCell::new(Vec::new()));
        let updates_received = Rc::clone(&received);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let targets = runtime.block_on(async {
            let source = Rc::new(EndpointWatch::new(address, known_generation));
            let watch = run(source, move |update| updates_received.borrow_mut().push(update.generation));
            let two_requests =
                tokio::task::spawn_blocking(move || requested_targets.iter().take(2).collect::<Vec<_>>());
            tokio::select! {
                () = watch => Vec::new(),
                targets = two_requests => targets.expect("two requests"),
            }
        });
        let from = known_generation.map_or(String::new(), |generation| format!("&from={generation}"));
        assert_eq!(
            targets,
            [format!("/v1/servers?watch=1{from}"), next_target.to_string()],
            "{first_lines:?}"
        );
        assert_eq!(*received.borrow(), updates, "{first_lines:?}");
    }
}

/// Discovery on the thread of the watch, with a paused clock. The tests advance the clock and measure how
/// long the watch takes.
struct Discovery {
    listener: TcpListener,
    started_at: Instant,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

impl Discovery {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking");
        Discovery { listener, started_at: Instant::now() }
    }

    /// Waits for the next watch request, while advancing the clock up to `within`. Returns its socket and
    /// target.
    async fn next_watch(&self, within: Duration) -> (TcpStream, String) {
        let mut socket = loop {
            match poll_until(50, || self.listener.accept().ok()).await {
                Some((socket, _)) => break socket,
                None => advance(Duration::from_millis(50)).await,
            }
            assert!(self.started_at.elapsed() <= within, "no watch after {:?}", self.started_at.elapsed());
        };
        socket.set_nonblocking(true).expect("non-blocking");
        let mut head = Vec::new();
        let request = poll_until(usize::MAX, || {
            let mut buffer = [0; 1024];
            let read = socket.read(&mut buffer).unwrap_or(0);
            head.extend_from_slice(&buffer[..read]);
            head.ends_with(b"\r\n\r\n").then(|| String::from_utf8_lossy(&head).into_owned())
        });
        let target = request.await.expect("a request").split(' ').nth(1).unwrap_or_default().to_string();
        (socket, target)
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Yields to the watch without advancing the clock, until a condition holds or it was polled `turns` times.
async fn poll_until<T>(turns: usize, mut condition: impl FnMut() -> Option<T>) -> Option<T> {
    // A real-time limit, generous for slow machines, in case the condition never holds.
    let started_at = std::time::Instant::now();
    for _ in 0..turns {
        if let Some(value) = condition() {
            return Some(value);
        }
        assert!(started_at.elapsed() < Duration::from_secs(20), "the condition does not hold");
        yield_now().await;
    }
    None
}

/// Runs a script concurrently with a watch, on a paused clock.
fn with_paused_watch<F: Future<Output = ()>>(
    script: impl FnOnce(Rc<EndpointWatch>, Rc<RefCell<Vec<u64>>>, Discovery) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        pause();
        let discovery = Discovery::new();
        let source = Rc::new(EndpointWatch::new(discovery.listener.local_addr().expect("an address"), None));
        let received = Rc::new(RefCell::new(Vec::new()));
        let updates_received = Rc::clone(&received);
        let watch =
            run(Rc::clone(&source), move |update| updates_received.borrow_mut().push(update.generation));
        tokio::select! {
            () = watch => {}
            () = script(source, received, discovery) => {}
        }
    });
}

#[test]
fn updates_missed_by_a_silent_watch_arrive_within_the_deadline() {
    let deadline = Duration::from_secs(6);
    let steady = (0..40).map(|_| chunk("\n")).collect::<String>();
    for (reply, closes) in [
        (None, false),
        // Discovery accepts the connection, but sends nothing or only part of a response head.
        (Some(""), false),
        (Some("HTTP/1.1 200 OK\r\ntransfer-"), false),
        (Some("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"), false),
        (Some("HTTP/1.1 200 OK\r\n\r\n"), true),
        (Some("nonsense"), true),
        (Some(""), true),
        // The connection is closed in the middle of a line.
        (Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"gen\r\n"), true),
    ] {
        with_paused_watch(|_, received, mut discovery| {
            let steady = steady.clone();
            async move {
                let (mut first, _) = discovery.next_watch(deadline).await;
                first
                    .write_all((HEAD.to_string() + &steady + &chunk(&(line(1) + "\n"))).as_bytes())
                    .expect("written");
                poll_until(usize::MAX, || (*received.borrow() == [1]).then_some(())).await;
                // From here on, the watch is silent.
                discovery.started_at = Instant::now();
                let mut open_sockets = Vec::new();
                if let Some(reply) = reply {
                    let (mut socket, _) = discovery.next_watch(deadline).await;
                    socket.write_all(reply.as_bytes()).expect("written");
                    open_sockets.extend((!closes).then_some(socket));
                }
                let (mut last, target) = discovery.next_watch(deadline).await;
                assert_eq!(target, "/v1/servers?watch=1&from=1", "{reply:?}");
                last.write_all((HEAD.to_string() + &chunk(&(line(2) + "\n"))).as_bytes()).expect("written");
                poll_until(usize::MAX, || (*received.borrow() == [1, 2]).then_some(())).await;
                assert!(discovery.started_at.elapsed() <= deadline, "{reply:?}");
            }
        });
    }
}

#[test]
fn watch_gives_up_an_endless_object() {
    with_paused_watch(|_, _, discovery| async move {
        let (mut socket, _) = discovery.next_watch(Duration::from_secs(1)).await;
        socket.write_all((HEAD.to_string() + &chunk("{")).as_bytes()).expect("written");
        let started_at = Instant::now();
        let next = loop {
            let _ = socket.write_all(chunk("  ").as_bytes());
            if let Some((next, _)) = poll_until(50, || discovery.listener.accept().ok()).await {
                break next;
            }
            assert!(started_at.elapsed() < Duration::from_secs(8), "the watch does not give up");
            advance(Duration::from_millis(500)).await;
        };
        drop(next);
    });
}

#[test]
fn address_change_within_a_list_requests_the_complete_list() {
    with_paused_watch(|source, received, discovery| async move {
        let (mut socket, _) = discovery.next_watch(Duration::from_secs(1)).await;
        let (first_half, second_half) = (&line(5)[..20], &line(5)[20..]);
        socket
            .write_all((HEAD.to_string() + &chunk(&(line(4) + "\n" + first_half))).as_bytes())
            .expect("written");
        poll_until(usize::MAX, || (*received.borrow() == [4]).then_some(())).await;
        let next = Discovery::new();
        source.set_address(next.listener.local_addr().expect("an address"));
        // The rest arrives while the old watch is dropped, and is ignored.
        let _ = socket.write_all(chunk(second_half).as_bytes());
        let (mut socket, target) = next.next_watch(Duration::ZERO).await;
        assert_eq!(target, "/v1/servers?watch=1");
        socket.write_all((HEAD.to_string() + &chunk(&(line(2) + "\n"))).as_bytes()).expect("written");
        poll_until(usize::MAX, || (received.borrow().last() == Some(&2)).then_some(())).await;
        assert_eq!(*received.borrow(), [4, 2]);
    });
}
