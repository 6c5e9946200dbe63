//! The watch against a scripted discovery: which updates it delivers, and from where it is opened again.

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
fn the_watch_goes_on_from_what_is_known() {
    let broken = "{\"generation\": 9, \"instances\": 7}";
    let long = format!("{{\"generation\": 3, \"instances\": [{}]}}", vec!["7"; 30_000].join(","));
    for (known, first, updates, again) in [
        (None, vec![line(1)], vec![1], "/v1/servers?watch=1&from=1"),
        (Some(41), vec![], vec![], "/v1/servers?watch=1&from=41"),
        (
            Some(41),
            vec![String::new(), line(42), String::new(), line(43)],
            vec![42, 43],
            "/v1/servers?watch=1&from=43",
        ),
        (Some(1), vec![line(2), "{\"gen".to_string()], vec![2], "/v1/servers?watch=1&from=2"),
        // What can't be read may have told of a drain, which no later line would repeat: all is asked for
        // again.
        (Some(1), vec![line(2), broken.to_string(), line(10)], vec![2], "/v1/servers?watch=1"),
        (Some(1), vec!["noise".to_string(), line(2)], vec![], "/v1/servers?watch=1"),
        // So may a count that has been lost.
        (Some(7), vec![line(8), line(6)], vec![8], "/v1/servers?watch=1"),
        // Told twice does no harm, and layout means nothing.
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
        let (tell, asked) = channel();
        let first_lines = first.clone();
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
                // Chunks that end in the middle of a line.
                let body = if number == 0 { first_lines.join("\n") + "\n" } else { String::new() };
                let mut reply = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_string();
                for chunk in body.as_bytes().chunks(1000) {
                    reply += &format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk));
                }
                socket.get_mut().write_all(reply.as_bytes()).expect("written");
                let _ = tell.send(target.split(' ').nth(1).unwrap_or_default().to_string());
            }
        });
        let received = Rc::new(RefCell::new(Vec::new()));
        let keep = Rc::clone(&received);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let targets = runtime.block_on(async {
            let source = Rc::new(EndpointWatch::new(address, known));
            let following = run(source, move |update| keep.borrow_mut().push(update.generation));
            let asked_twice = tokio::task::spawn_blocking(move || asked.iter().take(2).collect::<Vec<_>>());
            tokio::select! {
                () = following => Vec::new(),
                targets = asked_twice => targets.expect("asked"),
            }
        });
        let from = known.map_or(String::new(), |generation| format!("&from={generation}"));
        assert_eq!(targets, [format!("/v1/servers?watch=1{from}"), again.to_string()], "{first:?}");
        assert_eq!(*received.borrow(), updates, "{first:?}");
    }
}

/// Discovery on the thread of the follower, whose clock stands still but for the steps taken here: what it
/// does is waited for, and how long it lets pass is counted.
struct Discovery {
    listener: TcpListener,
    began: Instant,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

impl Discovery {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking");
        Discovery { listener, began: Instant::now() }
    }

    /// The next watch and its target, with all the time on the clock that it takes to come, up to the bound.
    async fn asked(&self, within: Duration) -> (TcpStream, String) {
        let mut socket = loop {
            match awaited(50, || self.listener.accept().ok()).await {
                Some((socket, _)) => break socket,
                None => advance(Duration::from_millis(50)).await,
            }
            assert!(self.began.elapsed() <= within, "no watch after {:?}", self.began.elapsed());
        };
        socket.set_nonblocking(true).expect("non-blocking");
        let mut head = Vec::new();
        let whole = awaited(usize::MAX, || {
            let mut piece = [0; 1024];
            let read = socket.read(&mut piece).unwrap_or(0);
            head.extend_from_slice(&piece[..read]);
            head.ends_with(b"\r\n\r\n").then(|| String::from_utf8_lossy(&head).into_owned())
        });
        let target = whole.await.expect("a request").split(' ').nth(1).unwrap_or_default().to_string();
        (socket, target)
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Lets the follower run, while its clock stands, until something has happened or it had so many turns.
async fn awaited<T>(turns: usize, mut happened: impl FnMut() -> Option<T>) -> Option<T> {
    // The bound is for a follower that never does it, however slow the machine.
    let begun = std::time::Instant::now();
    for _ in 0..turns {
        if let Some(it) = happened() {
            return Some(it);
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "it does not come");
        yield_now().await;
    }
    None
}

/// Plays a script beside a follower whose clock stands still.
fn beside_follower<F: Future<Output = ()>>(
    script: impl FnOnce(Rc<EndpointWatch>, Rc<RefCell<Vec<u64>>>, Discovery) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        pause();
        let discovery = Discovery::new();
        let source = Rc::new(EndpointWatch::new(discovery.listener.local_addr().expect("an address"), None));
        let received = Rc::new(RefCell::new(Vec::new()));
        let keep = Rc::clone(&received);
        let following = run(Rc::clone(&source), move |update| keep.borrow_mut().push(update.generation));
        tokio::select! {
            () = following => {}
            () = script(source, received, discovery) => {}
        }
    });
}

#[test]
fn what_a_silent_watch_misses_is_heard_in_time_also_after_a_try_that_hangs() {
    let in_time = Duration::from_secs(6);
    let steady = (0..40).map(|_| chunk("\n")).collect::<String>();
    for (between, closes) in [
        (None, false),
        // Discovery accepts and says nothing, or not all that it must say first.
        (Some(""), false),
        (Some("HTTP/1.1 200 OK\r\ntransfer-"), false),
        (Some("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"), false),
        (Some("HTTP/1.1 200 OK\r\n\r\n"), true),
        (Some("nonsense"), true),
        (Some(""), true),
        // It resets in the middle of a line.
        (Some("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"gen\r\n"), true),
    ] {
        beside_follower(|_, received, mut discovery| {
            let steady = steady.clone();
            async move {
                let (mut first, _) = discovery.asked(in_time).await;
                first
                    .write_all((HEAD.to_string() + &steady + &chunk(&(line(1) + "\n"))).as_bytes())
                    .expect("written");
                awaited(usize::MAX, || (*received.borrow() == [1]).then_some(())).await;
                // From here on it is silent.
                discovery.began = Instant::now();
                let mut held = Vec::new();
                if let Some(reply) = between {
                    let (mut socket, _) = discovery.asked(in_time).await;
                    socket.write_all(reply.as_bytes()).expect("written");
                    held.extend((!closes).then_some(socket));
                }
                let (mut last, target) = discovery.asked(in_time).await;
                assert_eq!(target, "/v1/servers?watch=1&from=1", "{between:?}");
                last.write_all((HEAD.to_string() + &chunk(&(line(2) + "\n"))).as_bytes()).expect("written");
                awaited(usize::MAX, || (*received.borrow() == [1, 2]).then_some(())).await;
                assert!(discovery.began.elapsed() <= in_time, "{between:?}");
            }
        });
    }
}

#[test]
fn an_object_without_an_end_is_given_up_however_steadily_it_comes() {
    beside_follower(|_, _, discovery| async move {
        let (mut socket, _) = discovery.asked(Duration::from_secs(1)).await;
        socket.write_all((HEAD.to_string() + &chunk("{")).as_bytes()).expect("written");
        let begun = Instant::now();
        let next = loop {
            let _ = socket.write_all(chunk("  ").as_bytes());
            if let Some((next, _)) = awaited(50, || discovery.listener.accept().ok()).await {
                break next;
            }
            assert!(begun.elapsed() < Duration::from_secs(8), "it is listened to for ever");
            advance(Duration::from_millis(500)).await;
        };
        drop(next);
    });
}

#[test]
fn a_move_in_the_middle_of_a_list_asks_at_the_new_address_for_all_of_it() {
    beside_follower(|source, received, discovery| async move {
        let (mut socket, _) = discovery.asked(Duration::from_secs(1)).await;
        let (half, rest) = (&line(5)[..20], &line(5)[20..]);
        socket.write_all((HEAD.to_string() + &chunk(&(line(4) + "\n" + half))).as_bytes()).expect("written");
        awaited(usize::MAX, || (*received.borrow() == [4]).then_some(())).await;
        let next = Discovery::new();
        source.set_address(next.listener.local_addr().expect("an address"));
        // The rest comes as the old watch is dropped, and counts no more.
        let _ = socket.write_all(chunk(rest).as_bytes());
        let (mut socket, target) = next.asked(Duration::ZERO).await;
        assert_eq!(target, "/v1/servers?watch=1");
        socket.write_all((HEAD.to_string() + &chunk(&(line(2) + "\n"))).as_bytes()).expect("written");
        awaited(usize::MAX, || (received.borrow().last() == Some(&2)).then_some(())).await;
        assert_eq!(*received.borrow(), [4, 2]);
    });
}
