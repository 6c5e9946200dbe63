//! The program from outside: its configuration, a scripted server with its discovery, and a client.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

pub fn settings() -> Value {
    json!({"balancers": 1, "tier": 0, "zones": ["a"], "kinds": ["m"], "membershipMode": "pushed",
        "tickNs": 5000000,
        "products": [{"name": "order", "effect": "keyed", "keyScope": "cell", "sloTimeNs": 60000000000u64,
            "memorySpanNs": 60000000000u64, "statementTimeoutNs": 60000000000u64, "tardyImportance": 0.5}],
        "limits": {"cancel": true, "mostExecutions": 3, "maxRetryAfterNs": 1500000000, "retryAfter": true,
            "secondCopies": false, "connIdleNs": 15000000000u64, "connectTimeoutNs": 250000000},
        "loadInfo": {"columns": ["throughput"]},
        "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}})
}

pub fn configuration(listen: SocketAddr, server: SocketAddr) -> Value {
    let listed = json!({"instanceId": "s-1", "hostPort": server.to_string(), "zone": "a", "machineType": "m",
        "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0});
    json!({"name": "n0", "listen": listen.to_string(), "discovery": server.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peers": [],
        "known": {"generation": 1, "reset": true, "instances": [listed]}, "settings": settings()})
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The file of the configuration, one for each test.
pub fn write(configuration: &str) -> PathBuf {
    let name = format!("whinspindle-{}-{:?}.json", std::process::id(), thread::current().id());
    let file = std::env::temp_dir().join(name.replace(['(', ')'], "-"));
    std::fs::write(&file, configuration).expect("written");
    file
}

/// The operator's file, one for each test.
pub fn write_operator(text: &str) -> PathBuf {
    let file = write("").with_extension("toml");
    std::fs::write(&file, text).expect("written");
    file
}

/// Starts the program with this configuration.
pub fn start(configuration: &str) -> Child {
    start_with(configuration, &[])
}

pub fn start_with(configuration: &str, arguments: &[&str]) -> Child {
    let file = write(configuration);
    Command::new(env!("CARGO_BIN_EXE_whinspindle"))
        .args(arguments)
        .env("ROUTER_CONFIG", &file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

/// A request's line and headers, and its body.
pub fn message(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let before = head.len();
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
        let line = head[before..].trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A balancer in front of one server, which answers by the path of a query and reports what it receives.
pub struct RunningBalancer {
    /// Address of the balancer.
    pub listen: SocketAddr,
    /// The process.
    pub program: Child,
    /// Its log.
    pub log: BufReader<std::process::ChildStderr>,
    /// What the server reports, such as the paths of requests.
    pub seen: Receiver<String>,
    /// Releases an answer that the server holds back.
    pub release: Sender<()>,
}

impl RunningBalancer {
    pub fn new() -> Self {
        Self::with(60_000)
    }

    /// `longest` is the statement timeout in milliseconds.
    pub fn with(longest: u64) -> Self {
        Self::with_arguments(longest, &[])
    }

    /// Starts a balancer with command-line arguments.
    pub fn with_arguments(longest: u64, arguments: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (listen, server) = (free_address(), listener.local_addr().expect("an address"));
        let (report, seen) = channel();
        let (release, released) = channel();
        let released = Arc::new(Mutex::new(released));
        thread::spawn(move || {
            for socket in listener.incoming() {
                let (report, released) = (report.clone(), Arc::clone(&released));
                thread::spawn(move || serve(socket.expect("a connection"), &report, &released));
            }
        });
        let mut configuration = configuration(listen, server);
        configuration["settings"]["products"][0]["statementTimeoutNs"] = json!(longest * 1_000_000);
        let mut program = start_with(&configuration.to_string(), arguments);
        let log = BufReader::new(program.stderr.take().expect("piped"));
        let mut balancer = RunningBalancer { listen, program, log, seen, release };
        balancer.log_says("whinspindle start");
        balancer
    }

    /// Reads the log up to a line that starts with `beginning`.
    pub fn log_says(&mut self, beginning: &str) {
        let mut line = String::new();
        while !line.starts_with(beginning) {
            line.clear();
            assert_ne!(self.log.read_line(&mut line).expect("log"), 0, "the log ended before: {beginning}");
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args(["-s", name, &self.program.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Connects a client.
    pub fn connect(&self) -> BufReader<TcpStream> {
        BufReader::new(TcpStream::connect(self.listen).expect("a connection"))
    }
}

impl Drop for RunningBalancer {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

pub fn serve(socket: TcpStream, report: &Sender<String>, released: &Mutex<Receiver<()>>) {
    let mut socket = BufReader::new(socket);
    while let Some((head, body)) = message(&mut socket) {
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        let _ = report.send(path.clone());
        let body = String::from_utf8_lossy(&body);
        let reply = match path.as_str() {
            "/served" => format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()),
            "/unfit" => "HTTP/1.1 400 No\r\ncontent-length: 0\r\n\r\n".to_string(),
            "/error" => "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n".to_string(),
            "/full" => "HTTP/1.1 503 No\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n".to_string(),
            "/busy" => "HTTP/1.1 429 No\r\nretry-after: 9\r\ncontent-length: 0\r\n\r\n".to_string(),
            "/broken" => break,
            "/waits" => {
                let _ = released.lock().expect("no panic").recv();
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate".to_string()
            }
            // A watch that tells nothing, and a query that is never answered.
            _ => continue,
        };
        let _ = socket.get_mut().write_all(reply.as_bytes());
    }
    let _ = report.send("end".to_string());
}

pub fn post(path: &str, more: &str, body: &str) -> String {
    let head = "host: api.internal\r\nx-trace-id: 1\r\nx-qos: order\r\nidempotency-key: k\r\n";
    format!("POST {path} HTTP/1.1\r\n{head}{more}content-length: {}\r\n\r\n{body}", body.len())
}

/// The status and whether the connection ends, and the body.
pub fn answer(client: &mut BufReader<TcpStream>) -> (String, bool, String) {
    let (head, body) = message(client).expect("an answer");
    let status = head.split(' ').nth(1).unwrap_or_default().to_string();
    (status, head.contains("connection: close"), String::from_utf8_lossy(&body).into_owned())
}
