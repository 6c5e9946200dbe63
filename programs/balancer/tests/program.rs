//! The program from outside, between a scripted server with its discovery and a client.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;

use common::*;
use serde_json::{Value, json};

#[test]
fn each_query_gets_its_answer() {
    let balancer = RunningBalancer::new();
    let mut client = balancer.connect();
    let long = "x".repeat(64 * 1024);
    for (request, status, body) in [
        ("GET /healthz HTTP/1.1\r\nhost: n0\r\n\r\n".to_string(), "200", "ok\n"),
        (post("/served", "", "four"), "200", "four"),
        (post("/served", "x-expires-in-ms: 30000\r\n", &long), "200", &long),
        (post("/full", "", ""), "503", "rejected\n"),
        (post("/error", "", ""), "502", "aborted\n"),
        (post("/unfit", "", ""), "502", "aborted\n"),
        (post("/unfit", "", ""), "502", "aborted\n"),
        (post("/served", "", "not rested"), "200", "not rested"),
        (post("/served", "x-expires-in-ms: soon\r\n", ""), "400", "x-expires-in-ms: is not a whole number\n"),
        (post("/served", "x-expires-in-ms: 0\r\n", ""), "503", "rejected\n"),
        (post("/served", "", "").replace("order", "buy"), "400", "x-qos: is not a known class\n"),
        (post("/served", "", "again"), "200", "again"),
    ] {
        client.get_mut().write_all(request.as_bytes()).expect("written");
        let (got, _, text) = answer(&mut client);
        assert_eq!((got.as_str(), text.as_str()), (status, body), "{}", request.lines().next().unwrap_or(""));
    }
    for (request, status) in [
        (post("/served", "", &(long + "x")), "413"),
        ("nonsense\r\n\r\n".to_string(), "400"),
        // In either order; hyper keeps only one of the two.
        (post("/served", "transfer-encoding: chunked\r\n", "0\r\n\r\n"), "411"),
        (
            post("/served", "", "0\r\n\r\n").replace("\r\n\r\n0", "\r\ntransfer-encoding: chunked\r\n\r\n0"),
            "411",
        ),
        (post("/served", &format!("x-long: {}\r\n", "x".repeat(100_000)), ""), "431"),
    ] {
        let mut client = balancer.connect();
        // It may be answered, and its connection closed, before all of it is written.
        let _ = client.get_mut().write_all(request.as_bytes());
        assert_eq!(answer(&mut client).0, status);
    }
}

#[test]
fn the_id_of_an_open_request_is_refused_and_that_request_continues() {
    let balancer = RunningBalancer::new();
    let mut clients = [balancer.connect(), balancer.connect()];
    clients[0].get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    clients[1].get_mut().write_all(post("/served", "", "").as_bytes()).expect("written");
    assert_eq!(answer(&mut clients[1]).0, "409");
    balancer.release.send(()).expect("released");
    assert_eq!(answer(&mut clients[0]).2, "late");
}

#[test]
fn queries_without_an_end_are_ended() {
    let balancer = RunningBalancer::new();
    let body = post("/served", "", "four");
    let cases = [("", None), ("POST /served HT", None), (&body[..body.len() - 2], Some("408".to_string()))];
    let clients = cases.map(|(sent, status)| {
        let mut client = balancer.connect();
        client.get_mut().write_all(sent.as_bytes()).expect("written");
        (client, status)
    });
    for (mut client, status) in clients {
        assert_eq!(
            message(&mut client).and_then(|(head, _)| Some(head.split(' ').nth(1)?.to_string())),
            status
        );
    }
}

#[test]
fn an_upstreams_own_refusal_never_reaches_the_client() {
    for (path, status) in [("/busy", "502"), ("/broken", "502")] {
        let balancer = RunningBalancer::new();
        let mut client = balancer.connect();
        client.get_mut().write_all(post(path, "", "").as_bytes()).expect("written");
        assert_eq!(answer(&mut client).0, status, "{path}");
    }
}

#[test]
fn a_disconnect_ends_the_execution() {
    let balancer = RunningBalancer::new();
    let mut client = balancer.connect();
    client.get_mut().write_all(post("/hangs", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/hangs").expect("the execution");
    drop(client);
    assert!(balancer.seen.iter().any(|seen| seen == "end"));
}

#[test]
fn shutdown_answers_requests_in_flight_and_exits() {
    let mut balancer = RunningBalancer::with(5_000);
    let (mut client, mut kept) = (balancer.connect(), balancer.connect());
    client.get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    kept.get_mut().write_all(post("/served", "", "").replace(": 1", ": 2").as_bytes()).expect("written");
    assert_eq!(answer(&mut kept).0, "200");
    balancer.signal("TERM");
    balancer.log_says("whinspindle stop: told");
    kept.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nhost: n0\r\n\r\n").expect("written");
    assert_eq!(answer(&mut kept).0, "503");
    // Who is connected is served until half of the time is over, then parted with.
    kept.get_mut().write_all(post("/served", "", "kept").replace(": 1", ": 2").as_bytes()).expect("written");
    assert_eq!(answer(&mut kept), ("200".to_string(), false, "kept".to_string()));
    assert!(message(&mut kept).is_none());
    balancer.release.send(()).expect("released");
    assert_eq!(answer(&mut client), ("200".to_string(), true, "late".to_string()));
    balancer.log_says("whinspindle stop: all");
    assert!(balancer.program.wait().expect("it ends").success());
}

#[test]
fn shutdown_answers_also_requests_whose_deadlines_are_later() {
    let mut balancer = RunningBalancer::new();
    let mut client = balancer.connect();
    client.get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    balancer.signal("TERM");
    assert_eq!(answer(&mut client).0, "504");
    balancer.log_says("whinspindle stop: all");
    assert!(balancer.program.wait().expect("it ends").success());
}

#[test]
fn shutdown_ends_though_nobody_reads_the_log() {
    let mut balancer = RunningBalancer::with(100);
    let unread = std::mem::replace(&mut balancer.log, BufReader::new(empty_log()));
    drop(unread);
    let mut client = balancer.connect();
    client.get_mut().write_all(post("/served", "x-expires-in-ms: soon\r\n", "").as_bytes()).expect("written");
    assert_eq!(answer(&mut client).0, "400");
    drop(client);
    balancer.signal("TERM");
    // A stop takes under a second here; a minute is for a machine that is busy.
    let ended = (0..600).any(|_| {
        thread::sleep(std::time::Duration::from_millis(100));
        matches!(balancer.program.try_wait(), Ok(Some(status)) if status.success())
    });
    assert!(ended, "it goes on, though it was told to stop");
}

/// The standard error of a program that says nothing.
fn empty_log() -> std::process::ChildStderr {
    let mut silent = Command::new("true").stderr(Stdio::piped()).spawn().expect("it starts");
    let _ = silent.wait();
    silent.stderr.take().expect("piped")
}

#[test]
fn a_new_configuration_moves_discovery_and_keeps_all_else() {
    let mut balancer = RunningBalancer::new();
    let mut client = balancer.connect();
    client.get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    let next = TcpListener::bind("127.0.0.1:0").expect("a port");
    let moved = configuration(balancer.listen, next.local_addr().expect("an address"));
    let mut larger = moved.clone();
    larger["limits"]["sockets"] = json!(2048);
    let next = thread::spawn(move || message(&mut BufReader::new(next.accept().expect("a watch").0)));
    for (text, says) in [
        ("{".to_string(), "whinspindle reload: not JSON: "),
        (moved.to_string(), "whinspindle reload: the configuration is read again"),
        (larger.to_string(), "whinspindle reload: only discovery"),
    ] {
        write(&text);
        balancer.signal("HUP");
        balancer.log_says(says);
    }
    let (head, _) = next.join().expect("no panic").expect("a request");
    assert!(head.starts_with("GET /v1/servers?watch=1 "), "{head}");
    balancer.release.send(()).expect("released");
    assert_eq!(answer(&mut client), ("200".to_string(), false, "late".to_string()));
    client.get_mut().write_all(post("/served", "", "four").as_bytes()).expect("written");
    assert_eq!(answer(&mut client).2, "four");
}

#[test]
fn an_address_that_stays_taken_is_named_in_the_end() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let ended =
        start(&configuration(address, free_address()).to_string()).wait_with_output().expect("it ends");
    let said = String::from_utf8_lossy(&ended.stderr);
    assert!(
        !ended.status.success() && said.starts_with(&format!("whinspindle: listen: {address}: ")),
        "{said}"
    );
}

#[test]
fn what_is_wrong_in_the_configuration_is_named() {
    let whole = configuration(free_address(), free_address());
    let without = |pointer: &str, value: Value| {
        let mut edited = whole.clone();
        *edited.pointer_mut(pointer).expect("a field") = value;
        edited.to_string()
    };
    let shaped = |streams: usize, how: &str, rank: usize| {
        let mut edited = whole.clone();
        edited["settings"]["limits"]["streamsPerConn"] = json!(streams);
        edited["settings"]["loadInfo"]["how"] = json!(how);
        edited["settings"]["rank"] = json!(rank);
        edited.to_string()
    };
    for (text, field) in [
        ("{".to_string(), "not JSON: "),
        (without("/name", Value::Null), "name: "),
        (without("/listen", json!("nowhere")), "listen: "),
        (without("/listen", json!("192.0.2.1:1")), "listen: "),
        (without("/discovery", json!(8500)), "discovery: "),
        (without("/seed", json!("seed")), "seed: "),
        (without("/limits/sockets", json!(16)), "limits.sockets: "),
        (without("/limits/memory_mb", json!("much")), "limits.memory_mb: "),
        (without("/known", json!({"generation": 1})), "known: "),
        (without("/settings", Value::Null), "settings: "),
        (without("/settings/products", json!([])), "settings: products: "),
        (without("/settings/tier", json!(-1)), "settings: "),
        (without("/settings/products/0/effect", json!("odd")), "settings: products[0].effect: "),
        (without("/settings/products/0/keyScope", json!("rack")), "settings: products[0].keyScope: "),
        (without("/settings/products/0/keyScope", Value::Null), "settings: products[0].keyScope: "),
        (without("/settings/products/0/memorySpanNs", Value::Null), "settings: products[0].memorySpanNs: "),
        (without("/settings/membershipMode", json!("polled")), "settings: membershipMode: "),
        (without("/settings/membershipMode", json!("on_request")), "settings: obligations.mustAskInNs: "),
        (shaped(0, "pull", 0), "settings: limits.streamsPerConn: 0: "),
        // Of the shape all faults are told at once.
        (
            shaped(100, "pushed", 1),
            "settings: loadInfo.how: \"pushed\": load is told with answers, to probes or not at all; piggyback, \
             pull or silent; rank: 1: ",
        ),
        (shaped(100, "pull", 1), "settings: rank: 1: "),
    ] {
        let ended = start(&text).wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && said.lines().count() == 1, "{field}: {said}");
        assert!(said.starts_with(&format!("whinspindle: {field}")), "{field}: {said}");
    }
}

/// Orders that hang may take 2 s, and bodies of four bytes.
const BRIEF: &str = "[[route]]\nname = \"brief\"\nproduct = \"order\"\npath = \"/hangs\"\ntime = \"2s\"\n\
    [[route]]\nname = \"small\"\npath = \"/served\"\nlargest-body = \"4B\"\n";

#[test]
fn a_route_sets_the_time_and_the_largest_body() {
    let file = write_operator(BRIEF).display().to_string();
    let balancer = RunningBalancer::with_arguments(60_000, &["run", "--operator", &file]);
    let mut client = balancer.connect();
    for (request, status) in [
        (post("/served", "", "four"), "200"),
        // Without the route this would hang for a minute; the products' scope is the pod, so that it is an
        // abort.
        (post("/hangs", "", ""), "504"),
        (post("/served", "", "four"), "200"),
    ] {
        client.get_mut().write_all(request.as_bytes()).expect("written");
        assert_eq!(answer(&mut client).0, status, "{}", request.lines().next().unwrap_or(""));
    }
    client.get_mut().write_all(post("/served", "", "more than four").as_bytes()).expect("written");
    assert_eq!(answer(&mut client).0, "413");
}

#[test]
fn an_invalid_operator_file_shows_every_fault_and_prevents_the_start() {
    let file =
        write_operator("[[route]]\nname = \"r\"\ntime = \"2h\"\nexecutions = 9\n").display().to_string();
    let text = configuration(free_address(), free_address()).to_string();
    let ended = start_with(&text, &["run", "--operator", &file]).wait_with_output().expect("it ends");
    let said = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(2), "{said}");
    for wanted in ["3 faults", "rule 1", "rule 2", ":3:8", ":4:14"] {
        assert!(said.contains(wanted), "{wanted}: {said}");
    }
}

#[test]
fn reloads_under_load_lose_nothing_and_a_bad_file_changes_nothing() {
    let file = write_operator(BRIEF).display().to_string();
    let mut balancer = RunningBalancer::with_arguments(60_000, &["run", "--operator", &file]);
    let (mut client, mut held) = (balancer.connect(), balancer.connect());
    held.get_mut().write_all(post("/waits", "", "").as_bytes()).expect("written");
    balancer.seen.iter().find(|seen| seen == "/waits").expect("the execution");
    let mut served = 0;
    for round in 0..60 {
        let text = match round % 3 {
            0 => "[[route]]\nname = \"r\"\ntime = 3\n".to_string(),
            1 => BRIEF.replace("4B", "5B"),
            _ => BRIEF.to_string(),
        };
        write_operator(&text);
        balancer.signal("HUP");
        for _ in 0..5 {
            let request = post("/served", "", "four").replace("x-trace-id: 1", "x-trace-id: 2");
            client.get_mut().write_all(request.as_bytes()).expect("written");
            served += usize::from(answer(&mut client) == ("200".to_string(), false, "four".to_string()));
        }
    }
    assert_eq!(served, 300);
    // The last good one holds though a bad one follows it.
    thread::sleep(std::time::Duration::from_millis(1200));
    write_operator("[[route]]\n");
    balancer.signal("HUP");
    balancer.log_says("whinspindle reload: the operator's file stays as it was");
    let request = post("/served", "", "five5").replace("x-trace-id: 1", "x-trace-id: 3");
    client.get_mut().write_all(request.as_bytes()).expect("written");
    assert_eq!(answer(&mut client).0, "413");
    // What was in hand all the time keeps its own.
    balancer.release.send(()).expect("released");
    assert_eq!(answer(&mut held).2, "late");
}

#[test]
fn a_list_kept_on_disk_serves_while_discovery_is_down() {
    let folder = std::env::temp_dir().join(format!("whinspindle-kept-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let keep = format!("[keep]\nfolder = {:?}\nfresh = \"20s\"\n", folder.display().to_string());
    let file = write_operator(&keep).display().to_string();
    let arguments = ["run", "--operator", &file];
    let mut balancer = RunningBalancer::with_arguments(60_000, &arguments);
    let kept =
        || whinspindle_record_store::RecordStore::open(&folder).ok().and_then(|store| store.read("list"));
    let is_kept = (0..600).any(|_| {
        thread::sleep(std::time::Duration::from_millis(100));
        folder.join("list.a").exists()
    });
    assert!(is_kept, "nothing is kept");
    // It holds the folder for itself; killed, it leaves what it had.
    assert!(kept().is_none());
    let _ = balancer.program.kill();
    let _ = balancer.program.wait();
    let saved = kept().expect("a list");
    let later = |seconds: u64| {
        let ages = whinspindle_endpoint_cache::AgeLimits { fresh_us: 0, old_us: 1 };
        let (update, _) = whinspindle_endpoint_cache::restore(&saved, u64::MAX, &ages).expect("a list");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
        whinspindle_endpoint_cache::encode(&update.servers, 0, now.as_micros() as u64 - seconds * 1_000_000)
    };
    // Discovery is nowhere and the configuration knows no list: it serves by what is kept, however old.
    for (bytes, says, health) in [
        (Some(saved.clone()), "1 servers are remembered, taken as told", "200"),
        (Some(later(120)), "1 servers are remembered, its servers count as cold", "200"),
        (Some(later(7 * 24 * 3600)), "1 servers are remembered, old: addresses to try", "200"),
        (Some(b"no list".to_vec()), "", "503"),
        (None, "", "503"),
    ] {
        std::fs::remove_dir_all(&folder).expect("removed");
        if let Some(bytes) = bytes {
            let store = whinspindle_record_store::RecordStore::open(&folder).expect("a folder");
            store.write("list", &bytes).expect("written");
        }
        let listen = free_address();
        let mut without = configuration(listen, free_address());
        without["known"] = Value::Null;
        let mut program = start_with(&without.to_string(), &arguments);
        let log = BufReader::new(program.stderr.take().expect("piped"));
        let mut balancer = RunningBalancer { listen, program, log, seen: channel().1, release: channel().0 };
        if !says.is_empty() {
            balancer.log_says(&format!("whinspindle keep: {says}"));
        }
        balancer.log_says("whinspindle start");
        let mut client = balancer.connect();
        client.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nhost: n0\r\n\r\n").expect("written");
        assert_eq!(answer(&mut client).0, health, "{says}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}
