//! Client of the discovery service: watches the endpoint list, first complete and then incrementally. The
//! watch is reopened when it ends or is silent for too long. The address of discovery may change.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at};
use whinspindle_protocol::endpoints::EndpointUpdate;
use whinspindle_rate_limited_log::log_line;

mod objects;

use objects::ObjectSplitter;

/// Deadline for receiving a change after discovery has it and is reachable. It must cover a watch that falls
/// silent, an attempt that hangs, a successful attempt, and the delays between them.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// Silence after which a watch counts as dead. Without changes, discovery sends an empty line every 2 s.
const SILENCE_TIMEOUT: Duration = UPDATE_DEADLINE.checked_div(2).expect("not by 0");
/// Timeout for the response head. Discovery answers immediately, so that a connection without one hangs.
const RESPONSE_TIMEOUT: Duration = UPDATE_DEADLINE.checked_div(6).expect("not by 0");
/// Delay between attempts to open a watch.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Address of discovery and the known generation of the endpoint list.
pub struct EndpointWatch {
    discovery: Cell<SocketAddr>,
    generation: Cell<Option<u64>>,
    address_changed: Notify,
    /// Whether discovery has sent a message, or an attempt has failed.
    attempted: Cell<bool>,
    first_attempt: Notify,
    /// Time of the last message, including empty lines; initially the start time.
    last_received: Cell<Instant>,
}

impl EndpointWatch {
    /// Creates a watch that continues from a known generation.
    pub fn new(discovery: SocketAddr, generation: Option<u64>) -> Self {
        EndpointWatch {
            discovery: Cell::new(discovery),
            generation: Cell::new(generation),
            address_changed: Notify::new(),
            attempted: Cell::new(false),
            first_attempt: Notify::new(),
            last_received: Cell::new(Instant::now()),
        }
    }

    /// Time since the last message from discovery.
    pub fn time_since_message(&self) -> Duration {
        self.last_received.get().elapsed()
    }

    /// Waits for the first message from discovery, including empty lines, or for the first failed attempt.
    pub async fn wait_for_first_attempt(&self) {
        while !self.attempted.get() {
            self.first_attempt.notified().await;
        }
    }

    fn record_attempt(&self) {
        self.attempted.set(true);
        self.first_attempt.notify_waiters();
    }

    /// Changes the address of discovery. A discovery at a new address may count generations differently, so
    /// the complete list is requested from it.
    pub fn set_address(&self, discovery: SocketAddr) {
        if self.discovery.replace(discovery) != discovery {
            self.generation.set(None);
            self.address_changed.notify_one();
        }
    }

    /// Applies one JSON object of the watch. Fails if it is invalid or older than the known generation.
    fn apply(&self, object: &[u8], on_update: &mut impl FnMut(EndpointUpdate)) -> Result<(), String> {
        let update = EndpointUpdate::decode(object).map_err(|error| format!("invalid line: {error}"))?;
        if let Some(known) =
            self.generation.get().filter(|&known| !update.is_complete && update.generation < known)
        {
            return Err(format!("generation {} after generation {known}", update.generation));
        }
        for error in &update.errors {
            log_line!("list", "invalid entry skipped: {error}");
        }
        self.generation.set(Some(update.generation));
        on_update(update);
        Ok(())
    }
}

/// Watches the endpoint list forever and passes each update to `on_update`.
pub async fn run(source: Rc<EndpointWatch>, mut on_update: impl FnMut(EndpointUpdate)) {
    loop {
        let watch_once = async {
            match watch(&source, &mut on_update).await {
                Ok(()) => log_line!("list", "the watch ended; reopening it"),
                Err(error) => log_line!("list", "the watch failed: {error}; reopening it"),
            }
            source.record_attempt();
            sleep(RETRY_DELAY).await;
        };
        tokio::select! {
            biased;
            () = source.address_changed.notified() => {
                log_line!("list", "discovery address changed to {}", source.discovery.get())
            }
            () = watch_once => {}
        }
    }
}

async fn watch(
    source: &EndpointWatch,
    on_update: &mut impl FnMut(EndpointUpdate),
) -> Result<(), Box<dyn std::error::Error>> {
    let discovery = source.discovery.get();
    // A discovery that is down may accept connections without answering, or not refuse them.
    let response_deadline = tokio::time::Instant::now() + RESPONSE_TIMEOUT;
    let socket = timeout_at(response_deadline, TcpStream::connect(discovery)).await??;
    let _ = socket.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    let target = match source.generation.get() {
        Some(generation) => format!("/v1/servers?watch=1&from={generation}"),
        None => "/v1/servers?watch=1".to_string(),
    };
    let request = Request::get(target).header("host", discovery.to_string()).body(Empty::<Bytes>::new())?;
    let reader = async {
        let response = timeout_at(response_deadline, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        let mut body = response.into_body();
        let mut objects = ObjectSplitter::default();
        let mut object_deadline = tokio::time::Instant::now() + UPDATE_DEADLINE;
        loop {
            // Each object must be complete within the deadline, even if its bytes arrive steadily.
            if !objects.has_partial_object() {
                object_deadline = tokio::time::Instant::now() + UPDATE_DEADLINE;
            }
            let Some(frame) = timeout_at(object_deadline, timeout(SILENCE_TIMEOUT, body.frame())).await??
            else {
                break;
            };
            if let Ok(data) = frame?.into_data() {
                source.last_received.set(Instant::now());
                // After an error the complete list is requested, because the skipped part could contain a
                // drain that is not sent again.
                objects
                    .push(&data, |object| source.apply(object, on_update))
                    .inspect_err(|_| source.generation.set(None))?;
                source.record_attempt();
            }
        }
        Ok(())
    };
    // Drives the connection together with the reader, which observes the end of the connection as an error or
    // as the end of the body.
    let (mut reader, mut connection) = (pin!(reader), pin!(connection));
    let mut is_closed = false;
    std::future::poll_fn(|cx| {
        if !is_closed {
            is_closed = connection.as_mut().poll(cx).is_ready();
        }
        reader.as_mut().poll(cx)
    })
    .await
}
