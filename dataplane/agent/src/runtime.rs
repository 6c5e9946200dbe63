//! The process runtime around the state machine: sockets, clock, signals, settings file and log.

mod channel;
mod log_lines;

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use whinspindle_configuration::Settings;
use whinspindle_distribution::frame::{Frame, FrameKind};
use whinspindle_distribution::{
    DecodeError, Hello, Role, decode_report, decode_to_balancer, encode_hello, encode_report,
    encode_to_balancer,
};
use whinspindle_metrics::MetricsEndpoint;

use crate::agent::Agent;
use crate::connection::ConnectionId;
use crate::messages::{AgentSettings, Input, Output};
use crate::{metrics, settings_file};
use channel::{Channel, ChannelEvent, Event, Source};

/// Length of the queue of events for the state machine; connections are not read while it is full.
const EVENT_QUEUE: usize = 64;
/// Time to write the last frames before the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
/// Backoff after a failed accept, such as with too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Why the agent could not start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The listener for the proxy could not be opened.
    #[snafu(display("listening for the proxy on {endpoint}: {source}"))]
    Listen {
        /// Its address.
        endpoint: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// Signal handlers could not be installed.
    #[snafu(display("waiting for signals: {source}"))]
    Signals {
        /// The error of the system.
        source: std::io::Error,
    },
}

/// Runs the agent until it is told to shut down. `settings_file` is read again at a hang-up signal. The agent's tasks need
/// a `LocalSet` around it. Metrics are served at `metrics`, if given.
pub async fn run(
    settings: Settings,
    settings_file: PathBuf,
    metrics: Option<MetricsEndpoint>,
) -> Result<(), AgentError> {
    let endpoint = settings.agent_endpoint();
    let listener = TcpListener::bind(endpoint).await.context(ListenSnafu { endpoint })?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let (events, mut waiting) = mpsc::channel(EVENT_QUEUE);
    spawn_local(accept(listener, events.clone()));
    let mut runtime = Runtime::new(&settings, settings_file, events);
    if let Some(endpoint) = metrics {
        spawn_local(whinspindle_metrics::serve(settings.ip, endpoint, runtime.metrics()));
    }
    runtime.handle(Input::Tick);
    while !runtime.exiting {
        let input = next_input(&mut runtime, &mut waiting, &mut terminate, &mut hangup).await;
        if let Some(input) = input {
            runtime.handle(input);
        }
    }
    runtime.flush().await;
    Ok(())
}

async fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if events.send(Event::Accepted(stream)).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn next_input(
    runtime: &mut Runtime,
    waiting: &mut mpsc::Receiver<Event>,
    terminate: &mut Signal,
    hangup: &mut Signal,
) -> Option<Input> {
    let wake = runtime.next_wake();
    tokio::select! {
        biased;
        Some(event) = waiting.recv() => runtime.input_of(event),
        _ = terminate.recv() => Some(Input::Terminate),
        _ = hangup.recv() => settings_file::read_seeds(&runtime.settings_file).map(Input::SeedsReloaded),
        () = sleep_until(wake.into()) => Some(Input::Tick),
    }
}

/// The state machine with its connections.
struct Runtime {
    agent: Rc<RefCell<Agent>>,
    settings_file: PathBuf,
    started: Instant,
    hello: Bytes,
    events: mpsc::Sender<Event>,
    controllers: HashMap<ConnectionId, Channel>,
    proxy: Option<Channel>,
    /// Number of proxies that have connected; only the last one is served.
    proxies: u64,
    exiting: bool,
}

impl Runtime {
    fn new(settings: &Settings, settings_file: PathBuf, events: mpsc::Sender<Event>) -> Self {
        let own = SocketAddr::new(settings.ip, settings.agent_endpoint().port());
        let hello = encode_hello(&Hello { role: Role::Balancer, endpoint: own });
        let agent_settings = AgentSettings {
            node: settings.node.clone(),
            machine_ip: settings.ip,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            seeds: settings_file::internal_endpoints(settings),
            grace_ms: settings.bounds.grace_ms,
            incarnation: RandomState::new().build_hasher().finish(),
        };
        Runtime {
            agent: Rc::new(RefCell::new(Agent::new(0, agent_settings))),
            settings_file,
            started: Instant::now(),
            hello: Bytes::from(hello),
            events,
            controllers: HashMap::new(),
            proxy: None,
            proxies: 0,
            exiting: false,
        }
    }

    fn now(&self) -> u64 {
        milliseconds_since(self.started)
    }

    /// A function that renders the present metrics.
    fn metrics(&self) -> Rc<dyn Fn() -> String> {
        let (agent, started) = (Rc::clone(&self.agent), self.started);
        Rc::new(move || metrics::render(&agent.borrow(), milliseconds_since(started)))
    }

    fn next_wake(&self) -> Instant {
        self.started + Duration::from_millis(self.agent.borrow().next_wake(self.now()))
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        let outputs = self.agent.borrow_mut().handle(now, input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Connect { connection, endpoint } => {
                let channel = Channel::connect(connection, endpoint, self.events.clone());
                self.controllers.insert(connection, channel);
            }
            Output::Close(connection) => {
                self.controllers.remove(&connection);
            }
            Output::SendHello(connection) => self.send(connection, FrameKind::Hello, self.hello.clone()),
            Output::SendReport(connection, report) => {
                self.send(connection, FrameKind::Report, encode_report(&report).into());
            }
            Output::SendToProxy(message) => {
                if let Some(proxy) = &mut self.proxy {
                    proxy.send(Frame {
                        kind: FrameKind::ToBalancer,
                        payload: encode_to_balancer(&message).into(),
                    });
                }
            }
            Output::ReadSettings => {
                if let Some(seeds) = settings_file::read_seeds(&self.settings_file) {
                    self.handle(Input::SeedsReloaded(seeds));
                }
            }
            Output::Exit => self.exiting = true,
            Output::Log(notice) => log_lines::log(notice),
        }
    }

    fn send(&mut self, connection: ConnectionId, kind: FrameKind, payload: Bytes) {
        if let Some(channel) = self.controllers.get_mut(&connection) {
            channel.send(Frame { kind, payload });
        }
    }

    fn input_of(&mut self, event: Event) -> Option<Input> {
        match event {
            Event::Accepted(stream) => Some(self.accepted(stream)),
            Event::Channel(Source::Controller(connection), event) => self
                .controllers
                .contains_key(&connection)
                .then(|| self.controller_input(connection, event))?,
            Event::Channel(Source::Proxy(number), event) => {
                (number == self.proxies && self.proxy.is_some()).then(|| self.proxy_input(event))?
            }
        }
    }

    fn accepted(&mut self, stream: TcpStream) -> Input {
        self.proxies += 1;
        self.proxy = Some(Channel::accepted(self.proxies, stream, self.events.clone()));
        Input::ProxyConnected
    }

    fn controller_input(&mut self, connection: ConnectionId, event: ChannelEvent) -> Option<Input> {
        match event {
            ChannelEvent::Connected => Some(Input::Connected(connection)),
            ChannelEvent::Received(frame) if frame.kind == FrameKind::ToBalancer => {
                match decode_to_balancer(&frame.payload) {
                    Ok(message) => Some(Input::FromController(connection, message)),
                    Err(error) => Some(self.controller_failed(connection, &error)),
                }
            }
            ChannelEvent::Received(_) => None,
            ChannelEvent::Closed => {
                self.controllers.remove(&connection);
                Some(Input::Closed(connection))
            }
        }
    }

    fn controller_failed(&mut self, connection: ConnectionId, error: &DecodeError) -> Input {
        spdlog::warn!("a message of a controller cannot be decoded: {error}");
        self.controllers.remove(&connection);
        Input::Closed(connection)
    }

    fn proxy_input(&mut self, event: ChannelEvent) -> Option<Input> {
        match event {
            ChannelEvent::Received(frame) if frame.kind == FrameKind::Report => {
                match decode_report(&frame.payload) {
                    Ok(report) => Some(Input::FromProxy(report)),
                    Err(error) => {
                        spdlog::warn!("a message of the proxy cannot be decoded: {error}");
                        Some(self.proxy_closed())
                    }
                }
            }
            ChannelEvent::Connected | ChannelEvent::Received(_) => None,
            ChannelEvent::Closed => Some(self.proxy_closed()),
        }
    }

    fn proxy_closed(&mut self) -> Input {
        self.proxy = None;
        Input::ProxyClosed
    }

    /// Writes the frames that are queued.
    async fn flush(self) {
        let channels = self.controllers.into_values().chain(self.proxy);
        let ends: Vec<_> = channels.filter_map(Channel::finish).collect();
        // A peer that has not read them by then never will.
        let _ = tokio::time::timeout(FLUSH_LIMIT, async {
            for end in ends {
                let _ = end.await;
            }
        })
        .await;
    }
}

fn milliseconds_since(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
