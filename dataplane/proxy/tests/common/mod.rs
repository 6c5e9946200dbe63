//! A proxy between a scripted client and scripted upstreams, in one process with a simulated clock.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use whinspindle_configuration::Settings;
use whinspindle_distribution::{Configured, Fleet, Instance, Instances, Update};
use whinspindle_proxy::clients::Clients;
use whinspindle_proxy::connect::{BoxedSocket, Connect, Connecting};
use whinspindle_proxy::node::Node;

const PIPE_BYTES: usize = 256 * 1024;
/// Long enough for all tasks that are ready to run.
pub const SETTLE_TIME: Duration = Duration::from_millis(1);
/// Longer than the delay after which a connection to an upstream is reused.
pub const REUSE_DELAY: Duration = Duration::from_millis(50);
pub const ID: &str = "9c41d07be2a35f68";
pub const STAMP: &str = "3e1b.07.5a2";

const SETTINGS: &str = r#"{
  "node": "edge-1", "role": "proxy", "machine_class": "edge", "serves": ["edge"],
  "ip": "127.0.0.1", "zone": "z1", "region": "r1", "zones": {"z1": "r1", "z2": "r2"},
  "listen": {"front": "127.0.0.1:8161", "ready": "127.0.0.1:8167"},
  "port_range": [7720, 7735], "seeds": ["127.0.0.1:8166"], "bootstrap": true,
  "limits": {"memory_mb": 260, "max_fds": 4100, "disk_mb": 0}, "data_dir": null, "heartbeat_ms": 1200,
  "tolerate": {"machines": 1, "zones": 1, "regions": 1},
  "bounds": {"grace_s": 8, "drain_ms": 2500, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52}
}"#;

/// Routes of each kind; `plain` is a service without an engine.
pub const CONFIGURATION: &str = r#"{"generation": 7, "routes": [
  {"name": "unsafe", "host": "a.example", "path_prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 4000,
   "target_ms": 400, "priority": 2, "backend": "plain", "retries": 1},
  {"name": "safe", "host": "a.example", "path_prefix": "/safe/", "kind": "safe", "timeout_ms": 4000,
   "target_ms": 400, "priority": 2, "backend": "plain", "retries": 2},
  {"name": "stream", "host": "a.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 15000,
   "target_ms": 600, "priority": 1, "backend": "model", "retries": 1, "sticky": true, "resumable": false,
   "gap_aim_ms": 300},
  {"name": "resumable", "host": "a.example", "path_prefix": "/resumable/", "kind": "streaming",
   "timeout_ms": 15000, "target_ms": 600, "priority": 0, "backend": "model", "retries": 2, "sticky": true,
   "resumable": true, "gap_aim_ms": 300}],
 "services": [
  {"name": "plain", "health_path": "/healthz", "max_conns": 96, "cold_s": 0.0, "cold_per_s": 0.0},
  {"name": "model", "health_path": "/healthz", "max_conns": 610, "cold_s": 0.0, "cold_per_s": 0.0,
   "engine": {"slots": 128, "kv_capacity": 169731, "stride": 4}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000,
  "idle_timeout_ms": 15000}}"#;

/// A step of an upstream's script for a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes; `{id}` stands for the request's id.
    Write(String),
    /// Sends nothing for a time.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection. Data written before still arrives.
    Reset,
    /// Sends nothing until the peer closes.
    Hang,
    /// As the first step, starts the script once the head of a request is received, before its body is read.
    BeforeBody,
    /// Reads the body of a request whose script started with `BeforeBody`.
    ReadBody,
    /// Counts a run of the request.
    Run,
}

pub type Script = Vec<Step>;

pub fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

/// A complete answer that keeps the connection open.
pub fn answer(status: &str, headers: &str, body: &str) -> Step {
    let length = body.len();
    write(format!(
        "HTTP/1.1 {status}\r\nWhinspindle-Request-Id: {{id}}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ))
}

pub fn served(body: &str) -> Script {
    let headers = format!("Whinspindle-Server-Stamp: {STAMP}\r\nKeep-Alive: timeout=5\r\n");
    vec![answer("200 OK", &headers, body)]
}

pub fn rejected() -> Script {
    vec![answer("503 Service Unavailable", "Whinspindle-Not-Run: 1\r\nKeep-Alive: timeout=5\r\n", "")]
}

pub fn misdirected() -> Script {
    vec![answer("421 Misdirected Request", "Whinspindle-Instance-Id: i-x\r\n", "")]
}

/// The head of a stream.
pub fn stream_head() -> Step {
    write(format!(
        "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

pub fn chunk(text: &str) -> Step {
    write(format!("{:x}\r\n{text}\r\n", text.len()))
}

pub fn last_chunk() -> Step {
    write("0\r\n\r\n")
}

/// The state of all upstreams: received requests and scripts to play.
#[derive(Default)]
pub struct Upstreams {
    scripts: RefCell<VecDeque<Script>>,
    requests: RefCell<Vec<String>>,
    connections: Cell<usize>,
    open: Cell<usize>,
    /// Number of next connection attempts to refuse.
    pub refusals: Cell<usize>,
    /// Time that a connection attempt takes.
    pub connect_time: Cell<Duration>,
    /// Capacity of a connection's buffer, if it is limited.
    pub pipe_bytes: Cell<Option<usize>>,
    /// The script for requests without their own script.
    default_script: RefCell<Option<Script>>,
    /// The ids of requests that ran, once for each run.
    runs: RefCell<Vec<String>>,
    /// Incomplete bodies of requests.
    broken_bodies: RefCell<Vec<String>>,
}

impl Upstreams {
    /// Sets the script of the next request at any upstream.
    pub fn script(&self, script: Script) {
        self.scripts.borrow_mut().push_back(script);
    }

    pub fn requests(&self) -> Vec<String> {
        self.requests.borrow().clone()
    }

    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Connections that the proxy has not closed.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets the script for requests without their own script.
    pub fn default_script(&self, script: Script) {
        *self.default_script.borrow_mut() = Some(script);
    }

    /// How often a request has run.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| *run == id).count()
    }

    /// Bodies that were incomplete when their connection ended.
    pub fn broken_bodies(&self) -> Vec<String> {
        self.broken_bodies.borrow().clone()
    }

    async fn serve(self: Rc<Self>, mut socket: DuplexStream, is_reset: Rc<Cell<bool>>) {
        self.connections.set(self.connections.get() + 1);
        self.open.set(self.open.get() + 1);
        while let Some(head) = read_head(&mut socket).await {
            let script = self.scripts.borrow_mut().pop_front();
            let script = script.or_else(|| self.default_script.borrow().clone()).unwrap_or(vec![Step::Hang]);
            is_reset.set(script.iter().any(|step| matches!(step, Step::Reset)));
            let is_early = matches!(script.first(), Some(Step::BeforeBody));
            if !is_early && !self.receive_body(&head, &mut socket).await {
                break;
            }
            if !self.play(script, &head, &mut socket).await {
                break;
            }
        }
        self.open.set(self.open.get() - 1);
    }

    /// Receives the body and records the request; false if the connection ends before the body is complete.
    async fn receive_body(&self, head: &str, socket: &mut DuplexStream) -> bool {
        match read_body(head, socket).await {
            Ok(body) => self.requests.borrow_mut().push(format!("{head}{body}")),
            Err(part) => {
                self.broken_bodies.borrow_mut().push(part);
                return false;
            }
        }
        true
    }

    async fn play(&self, script: Script, head: &str, socket: &mut DuplexStream) -> bool {
        let id = header(head, "whinspindle-request-id").unwrap_or_default();
        for step in script {
            match step {
                Step::Write(text) => {
                    if socket.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                        return false;
                    }
                }
                Step::Wait(time) => sleep(time).await,
                Step::Close | Step::Reset => return false,
                Step::Hang => {
                    let _ = socket.read_u8().await;
                    return false;
                }
                Step::BeforeBody => {}
                Step::ReadBody => {
                    if !self.receive_body(head, socket).await {
                        return false;
                    }
                }
                Step::Run => self.runs.borrow_mut().push(id.clone()),
            }
        }
        true
    }
}

/// The proxy's side of a connection that the peer may reset.
struct ResettableSocket {
    socket: DuplexStream,
    is_reset: Rc<Cell<bool>>,
}

impl AsyncRead for ResettableSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        let has_ended = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() == before;
        if has_ended && self.is_reset.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        read
    }
}

impl AsyncWrite for ResettableSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

struct ScriptedConnect(Rc<Upstreams>);

impl Connect for ScriptedConnect {
    fn connect(&self, _: SocketAddr) -> Connecting {
        let upstreams = Rc::clone(&self.0);
        Box::pin(async move {
            sleep(upstreams.connect_time.get()).await;
            let refusals = upstreams.refusals.get();
            if refusals > 0 {
                upstreams.refusals.set(refusals - 1);
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            let (proxy_socket, upstream_socket) = duplex(upstreams.pipe_bytes.get().unwrap_or(PIPE_BYTES));
            let is_reset = Rc::default();
            spawn_local(upstreams.serve(upstream_socket, Rc::clone(&is_reset)));
            Ok(Box::new(ResettableSocket { socket: proxy_socket, is_reset }) as BoxedSocket)
        })
    }
}

/// Reads the head of a message with its empty line; `None` at the end of the connection.
async fn read_head(socket: &mut DuplexStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(char::from(socket.read_u8().await.ok()?));
    }
    Some(head)
}

/// Reads the raw body of a message by length or in chunks; an error with the partial body if the connection
/// ends.
async fn read_body(head: &str, socket: &mut DuplexStream) -> Result<String, String> {
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let chunked = header(head, "transfer-encoding").is_some();
    let mut body = String::new();
    while if chunked { !body.ends_with("0\r\n\r\n") } else { body.len() < length } {
        match socket.read_u8().await {
            Ok(byte) => body.push(char::from(byte)),
            Err(_) => return Err(body),
        }
    }
    Ok(body)
}

/// The value of a header in a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// The body of a message.
pub fn body(message: &str) -> &str {
    message.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// The data of a chunked body, and whether the last chunk was received.
pub fn chunks(message: &str) -> (String, bool) {
    let (mut data, mut rest) = (String::new(), body(message));
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).expect("a chunk's length");
        if length == 0 {
            return (data, true);
        }
        let Some(whole) = after.get(..length) else { break };
        data += whole;
        rest = after.get(length + 2..).unwrap_or_default();
    }
    (data, false)
}

/// A proxy with its upstreams.
pub struct Harness {
    pub node: Rc<Node>,
    pub clients: Rc<Clients>,
    pub upstreams: Rc<Upstreams>,
}

impl Harness {
    /// A proxy without configuration and instances.
    pub fn empty() -> Harness {
        Harness::with_settings(SETTINGS)
    }

    /// A proxy with a configuration and upstreams, without any retry budget.
    pub fn without_retries() -> Harness {
        let settings = SETTINGS
            .replace(r#""retry_ratio": 0.2"#, r#""retry_ratio": 0.0"#)
            .replace(r#""retry_slack": 52"#, r#""retry_slack": 0"#);
        let harness = Harness::with_settings(&settings);
        harness.apply_defaults();
        harness
    }

    fn with_settings(settings: &str) -> Harness {
        let settings = Settings::parse(settings.as_bytes()).expect("settings");
        let upstreams = Rc::new(Upstreams::default());
        let node = Node::new(settings, Box::new(ScriptedConnect(Rc::clone(&upstreams))), 7);
        Harness { node: Rc::new(node), clients: Rc::default(), upstreams }
    }

    /// A proxy with a configuration and three upstreams of each service.
    pub fn new() -> Harness {
        let harness = Harness::empty();
        harness.apply_defaults();
        harness
    }

    /// Applies a configuration, the upstreams and the number of balancers.
    pub fn apply_defaults(&self) {
        self.configure(1, CONFIGURATION);
        self.instances(1, &[]);
        let fleet = Fleet { version: 1, balancers: 1, loads: Vec::new(), failing: vec![] };
        self.apply(Update { fleet: Some(fleet), ..Update::default() });
    }

    pub fn apply(&self, update: Update) {
        self.node.apply(update).expect("a valid update");
    }

    pub fn configure(&self, sequence: u64, body: &str) {
        let configured = Configured { sequence, body: Bytes::copy_from_slice(body.as_bytes()) };
        self.apply(Update { configured: Some(configured), ..Update::default() });
    }

    /// Applies a list of upstreams, some of them draining.
    pub fn instances(&self, version: u64, draining: &[&str]) {
        let names = ["plain", "model"];
        let list = names.iter().flat_map(|service| {
            (1..=3).map(move |number| {
                let id = format!("{service}-{number}");
                Instance {
                    service: (*service).to_owned(),
                    address: SocketAddr::from(([10, 0, 0, number], 8080)),
                    zone: "z1".to_owned(),
                    slots: 64,
                    draining: draining.contains(&id.as_str()),
                    slow_start_ms: 0,
                    id,
                }
            })
        });
        let instances = Instances { version, list: list.collect() };
        self.apply(Update { instances: Some(instances), ..Update::default() });
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        let (client_socket, proxy_socket) = duplex(PIPE_BYTES);
        self.clients.serve(&self.node, Box::new(proxy_socket));
        Client { socket: client_socket }
    }

    /// Sends a request on a new connection and returns its answer.
    pub async fn ask(&self, request: &str) -> String {
        let mut client = self.client();
        client.send(request).await;
        client.answer().await
    }

    /// Advances the time with the periodic ticks.
    pub async fn pass(&self, time: Duration) {
        const TICK: Duration = Duration::from_millis(500);
        let mut left = time;
        while left > Duration::ZERO {
            let step = left.min(TICK);
            sleep(step).await;
            self.node.tick();
            self.clients.sweep(&self.node);
            left -= step;
        }
    }
}

/// A client's side of a connection.
pub struct Client {
    socket: DuplexStream,
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).await.expect("the proxy reads");
    }

    /// Closes the sending side; the receiving side stays open.
    pub async fn end(&mut self) {
        self.socket.shutdown().await.expect("the connection is open");
    }

    /// Sends on a connection that may be closed meanwhile.
    pub async fn send_ignoring_close(&mut self, text: &str) {
        // Such tests send bytes that the proxy may no longer read.
        let _ = self.socket.write_all(text.as_bytes()).await;
    }

    /// Reads one complete answer, or all bytes until the connection ends.
    pub async fn answer(&mut self) -> String {
        let mut bytes = Vec::new();
        while let Ok(1..) = self.socket.read_buf(&mut bytes).await {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length = header(head, "content-length").and_then(|length| length.parse::<usize>().ok());
            let is_complete = match length {
                Some(length) => body.len() >= length,
                None => chunks(&text).1,
            };
            if is_complete {
                return text;
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until nothing is received for the given time or the connection ends.
    pub async fn receive_for(&mut self, time: Duration) -> String {
        let mut bytes = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(Ok(count)) = tokio::time::timeout(time, self.socket.read(&mut buffer)).await {
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..count]);
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Whether the proxy has closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        matches!(tokio::time::timeout(SETTLE_TIME, self.socket.read_u8()).await, Ok(Err(_)))
    }
}

/// A request with a body of a few bytes.
pub fn post(path: &str) -> String {
    post_with(path, "")
}

/// The request of [`post`] with additional headers, each with its line end.
pub fn post_with(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {ID}\r\n{headers}\
         Whinspindle-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// The status of an answer.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Runs a test on a simulated clock.
pub fn play<F: Future<Output = ()>>(scenario: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario);
}
