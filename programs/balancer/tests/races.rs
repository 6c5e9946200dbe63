//! Rare moments, each made to happen every time: the other side waits for the event before it goes on. Times
//! here are only bounds for what never comes.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

const LONG: Duration = Duration::from_secs(30);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < LONG, "it does not come: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn instance(number: u64, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": address.to_string(), "zone": "a",
        "machineType": "m", "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// The next watch, its head written; lines go out on it as chunks.
fn watch(discovery: &TcpListener) -> TcpStream {
    let (socket, _) = discovery.accept().expect("a watch");
    let mut socket = BufReader::new(socket);
    message(&mut socket).expect("a request");
    let mut socket = socket.into_inner();
    socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").expect("written");
    socket
}

fn say(watch: &mut TcpStream, generation: u64, whole: bool, instances: &[Value]) {
    let line = json!({"generation": generation, "reset": whole, "instances": instances}).to_string() + "\n";
    watch.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).expect("written");
}

/// A running program, ended with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args(["-s", name, &self.0.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// A client whose query has come when the program lets it in, however slow this test is: the program stands
    /// still until it is written.
    fn asked(&self, listen: SocketAddr, query: &[u8]) -> BufReader<TcpStream> {
        self.signal("STOP");
        until("it stands still", || {
            let told = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
            told.rsplit(") ").next().is_some_and(|state| state.starts_with('T'))
        });
        let mut client = connect(listen);
        client.get_mut().write_all(query).expect("written");
        self.signal("CONT");
        client
    }

    /// Waits until the program catches SIGHUP, as the system tells it.
    fn catches_hangups(&self) {
        until("SIGHUP is caught", || {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
            let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            caught
                .and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok())
                .is_some_and(|mask| mask & 1 == 1)
        });
    }

    fn ends_well(mut self) {
        until("its end", || matches!(self.0.try_wait(), Ok(Some(status)) if status.success()));
    }
}

fn connect(listen: SocketAddr) -> BufReader<TcpStream> {
    let mut found = None;
    until("a connection", || {
        found = TcpStream::connect(listen).ok();
        found.is_some()
    });
    BufReader::new(found.expect("connected"))
}

const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: n0\r\n\r\n";

fn health(listen: SocketAddr) -> String {
    let mut client = connect(listen);
    client.get_mut().write_all(HEALTH).expect("written");
    answer(&mut client).0
}

/// An address that refuses, and that nobody else takes, until the other function listens there.
fn refusing() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

fn listens_now(socket: TcpSocket) -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let _entered = runtime.enter();
    let listener = socket.listen(16).and_then(tokio::net::TcpListener::into_std).expect("it listens");
    listener.set_nonblocking(false).expect("blocking");
    listener
}

/// Waits for a line of the log with these words.
fn log_says(log: &mut BufReader<ChildStderr>, words: &str) {
    let mut line = String::new();
    while !line.contains(words) {
        line.clear();
        assert_ne!(log.read_line(&mut line).expect("log"), 0, "the log ended before: {words}");
    }
}

const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";

#[test]
fn a_drain_right_after_the_start_counts_for_the_first_request() {
    let ((old, at_old), (new, at_new), (discovery, at_discovery)) = (listener(), listener(), listener());
    let listen = free_address();
    let mut told = configuration(listen, at_old);
    told["discovery"] = json!(at_discovery.to_string());
    let _running = Running(start(&told.to_string()));
    let mut watch = watch(&discovery);
    // The query is there before discovery has said a word.
    let mut client = connect(listen);
    client.get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
    let server = thread::spawn(move || {
        let mut socket = BufReader::new(new.accept().expect("the execution").0);
        message(&mut socket).expect("a request");
        socket.get_mut().write_all(SERVED).expect("written");
    });
    old.set_nonblocking(true).expect("non-blocking");
    thread::sleep(Duration::from_millis(100));
    assert!(old.accept().is_err(), "it is sent by a list that may be out of date");
    say(&mut watch, 2, false, &[instance(1, at_old, "draining"), instance(2, at_new, "ready")]);
    assert_eq!(answer(&mut client).2, "hi");
    server.join().expect("the other server has it");
    assert!(old.accept().is_err(), "the server that drains is reached");
}

#[test]
fn while_discovery_is_down_a_new_process_serves_by_what_it_knows() {
    // It refuses, or accepts and says nothing.
    for refuses in [true, false] {
        let ((server, at_server), (discovery, at_discovery)) = (listener(), listener());
        let listen = free_address();
        let mut told = configuration(listen, at_server);
        told["discovery"] = json!(at_discovery.to_string());
        let _silent = (!refuses).then_some(discovery);
        let _running = Running(start(&told.to_string()));
        thread::spawn(move || {
            let mut socket = BufReader::new(server.accept().expect("the execution").0);
            message(&mut socket).expect("a request");
            socket.get_mut().write_all(SERVED).expect("written");
        });
        assert_eq!(health(listen), "200");
        let mut client = connect(listen);
        client.get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
        assert_eq!(answer(&mut client).2, "hi");
    }
}

#[test]
fn signals_that_come_again_or_in_a_stop_change_nothing() {
    let mut balancer = RunningBalancer::with(5_000);
    let mut client = balancer.connect();
    client.get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    balancer.signal("TERM");
    balancer.log_says("whinspindle stop: told");
    for name in ["TERM", "HUP", "INT", "TERM"] {
        balancer.signal(name);
    }
    balancer.log_says("whinspindle reload: the configuration is read again");
    balancer.release.send(()).expect("released");
    assert_eq!(answer(&mut client).2, "late");
    balancer.log_says("whinspindle stop: all");
    assert!(balancer.program.wait().expect("it ends").success());
}

#[test]
fn shutdown_before_the_first_list_answers_and_ends() {
    let (_silent, at_discovery) = listener();
    let listen = free_address();
    let mut told = configuration(listen, at_discovery);
    told["known"] = Value::Null;
    let running = Running(start(&told.to_string()));
    let mut client = connect(listen);
    client.get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
    assert_eq!(answer(&mut client).0, "503");
    running.signal("TERM");
    assert!(message(&mut client).is_none(), "a connection that rests is ended");
    running.ends_well();
}

#[test]
fn a_process_waits_for_its_predecessor_also_during_a_reload() {
    let (before, listen) = listener();
    let ((_server, at_server), (_discovery, at_discovery)) = (listener(), listener());
    let mut told = configuration(listen, at_server);
    told["discovery"] = json!(at_discovery.to_string());
    let mut program = start(&told.to_string());
    let mut log = BufReader::new(program.stderr.take().expect("piped"));
    let running = Running(program);
    running.catches_hangups();
    running.signal("HUP");
    // As long as a stop may take with deadlines of a second; it fails where one second is all that is waited.
    thread::sleep(Duration::from_millis(1_700));
    drop(before);
    // Who connects before it says that it listens may still meet the one before: a process that another test
    // starts at this moment holds that listener too, until it runs its program.
    log_says(&mut log, "whinspindle start");
    assert_eq!(health(listen), "200");
    running.signal("TERM");
    running.ends_well();
}

#[test]
fn shutdown_works_while_the_address_is_still_taken() {
    let (_before, listen) = listener();
    let running = Running(start(&configuration(listen, listen).to_string()));
    running.catches_hangups();
    running.signal("TERM");
    running.ends_well();
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_out_neither_list_nor_servers_nor_clients() {
    const SOCKETS: u64 = 40;
    // Discovery is down.
    let ((server, at_server), (discovery, at_discovery)) = (listener(), refusing());
    let listen = free_address();
    let mut told = configuration(listen, at_server);
    told["discovery"] = json!(at_discovery.to_string());
    told["limits"]["sockets"] = json!(SOCKETS);
    told["known"] = Value::Null;
    let file = write(&told.to_string());
    let limited = format!("ulimit -n {SOCKETS}; exec {}", env!("CARGO_BIN_EXE_whinspindle"));
    let mut program = Command::new("sh");
    program.args(["-c", &limited]).env("ROUTER_CONFIG", &file).stderr(Stdio::null());
    let running = Running(program.spawn().expect("it starts"));
    // Idle clients come, some with half a query, some after an answer.
    let idle: Vec<_> = (0..3 * SOCKETS)
        .map(|number| {
            let mut client = connect(listen);
            if number % 3 == 1 {
                let _ = client.get_mut().write_all(b"POST /served HT");
            }
            if number % 3 == 2 {
                let asked = client.get_mut().write_all(HEALTH);
                let _ = asked.map(|()| message(&mut client));
            }
            client
        })
        .collect();
    // It is back, at its address.
    let discovery = listens_now(discovery);
    let mut watch = watch(&discovery);
    say(&mut watch, 1, true, &[instance(1, at_server, "ready")]);
    thread::spawn(move || {
        let mut socket = BufReader::new(server.accept().expect("the execution").0);
        message(&mut socket).expect("a request");
        socket.get_mut().write_all(SERVED).expect("written");
    });
    until("ready", || answer(&mut running.asked(listen, HEALTH)).0 == "200");
    let mut client = running.asked(listen, post("/served", "", "").as_bytes());
    assert_eq!(answer(&mut client).2, "hi");
    drop(idle);
}

/// A listener whose queue is full: who connects now is let in only after the queue has been emptied, and no
/// sooner than a second later, when the system tries again.
fn full() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let (listener, address) = listener();
    let brief = Duration::from_millis(100);
    let queued =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, brief).ok()).take(10_000).collect();
    (listener, address, queued)
}

#[test]
fn a_retry_whose_connection_opens_after_the_window_is_not_sent() {
    let ((first, at_first), (discovery, at_discovery)) = (listener(), listener());
    let (late, at_late, queued) = full();
    let listen = free_address();
    let mut told = configuration(listen, at_first);
    told["discovery"] = json!(at_discovery.to_string());
    told["settings"]["products"][0]["memorySpanNs"] = json!(600_000_000);
    told["settings"]["limits"]["connectTimeoutNs"] = json!(20_000_000_000u64);
    let _running = Running(start(&told.to_string()));
    let mut watch = watch(&discovery);
    say(&mut watch, 2, false, &[]);
    assert_eq!(health(listen), "200");
    let mut client = connect(listen);
    client.get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
    let mut socket = BufReader::new(first.accept().expect("the execution").0);
    message(&mut socket).expect("a request");
    // Now the other server may have it too; once the list is heard, the first one fails.
    say(&mut watch, 3, false, &[instance(2, at_late, "ready")]);
    assert_eq!(health(listen), "200");
    socket.get_mut().write_all(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n").expect("written");
    // The repeat is on its way to connect, as the system tells it; only now is there room for it.
    let to = format!("0100007F:{:04X} 02", at_late.port());
    until("a connection on its way", || {
        std::fs::read_to_string("/proc/net/tcp").is_ok_and(|table| table.contains(&to))
    });
    let (tell, heard) = channel();
    thread::spawn(move || {
        for socket in late.incoming() {
            let (mut socket, tell) = (socket.expect("a connection"), tell.clone());
            thread::spawn(move || {
                let mut piece = [0; 64];
                if socket.read(&mut piece).is_ok_and(|read| read > 0) {
                    let _ = tell.send("a request");
                }
            });
        }
    });
    assert_eq!(answer(&mut client).0, "502");
    drop(queued);
    assert!(heard.try_recv().is_err(), "the repeat is sent outside its window");
}

#[test]
fn nothing_is_sent_if_the_client_disconnects_while_connecting() {
    let (discovery, at_discovery) = listener();
    let (late, at_late, queued) = full();
    let listen = free_address();
    let mut told = configuration(listen, at_late);
    told["discovery"] = json!(at_discovery.to_string());
    told["settings"]["limits"]["connectTimeoutNs"] = json!(20_000_000_000u64);
    let mut stand_in = start(&told.to_string());
    let mut log = BufReader::new(stand_in.stderr.take().expect("piped"));
    let _running = Running(stand_in);
    let mut watch = watch(&discovery);
    say(&mut watch, 2, false, &[]);
    let mut client = connect(listen);
    client.get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
    let to = format!("0100007F:{:04X} 02", at_late.port());
    until("a connection on its way", || {
        std::fs::read_to_string("/proc/net/tcp").is_ok_and(|table| table.contains(&to))
    });
    drop(client);
    // The execution is over before its connection could come up.
    log_says(&mut log, "called off, request NotStarted");
    drop(queued);
    late.set_nonblocking(true).expect("non-blocking");
    while let Ok((mut socket, _)) = late.accept() {
        socket.set_nonblocking(true).expect("non-blocking");
        assert!(!socket.read(&mut [0; 64]).is_ok_and(|read| read > 0), "a request for nobody");
    }
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_surely_never_ran() {
    // What the first server does with it, and the answer.
    for (turns_away, status) in [(true, "200"), (false, "502")] {
        let ((first, at_first), (second, at_second), (discovery, at_discovery)) =
            (listener(), listener(), listener());
        let listen = free_address();
        let mut told = configuration(listen, at_first);
        told["discovery"] = json!(at_discovery.to_string());
        told["settings"]["products"][0]["effect"] = json!("unsafe");
        let _running = Running(start(&told.to_string()));
        let mut watch = watch(&discovery);
        say(&mut watch, 2, false, &[]);
        let mut client = connect(listen);
        let unsafe_post = post("/served", "", "").replace("idempotency-key: k\r\n", "");
        client.get_mut().write_all(unsafe_post.as_bytes()).expect("written");
        let mut socket = BufReader::new(first.accept().expect("the execution").0);
        message(&mut socket).expect("a request");
        say(&mut watch, 3, false, &[instance(2, at_second, "ready")]);
        assert_eq!(health(listen), "200");
        let (tell, heard) = channel();
        thread::spawn(move || {
            let mut socket = BufReader::new(second.accept().expect("the execution").0);
            message(&mut socket).expect("a request");
            let _ = tell.send(());
            socket.get_mut().write_all(SERVED).expect("written");
        });
        if turns_away {
            let reply = b"HTTP/1.1 503 No\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";
            socket.get_mut().write_all(reply).expect("written");
        }
        // Else it is read whole, and the connection breaks.
        drop(socket);
        assert_eq!(answer(&mut client).0, status);
        assert_eq!(heard.try_recv().is_ok(), turns_away);
    }
}
