//! The list of servers as discovery tells it: whole at first, then each change as it comes. The watch is
//! opened again when it ends, and also when it has been silent for longer than discovery ever is. Discovery
//! may move to another address.

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

use objects::Objects;

/// A change has to be known so long after discovery had it and could be reached. A watch that falls silent, an
/// attempt that hangs and the one that works, with the delays between them, have to fit in together.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// While nothing changes an empty line comes every 2 s; silent for one and a half of that, a watch is dead.
const SILENCE_LIMIT: Duration = UPDATE_DEADLINE.checked_div(2).expect("not by 0");
/// Discovery answers at once: a connection without a response head by then hangs.
const ANSWER_TIME_OUT: Duration = UPDATE_DEADLINE.checked_div(6).expect("not by 0");
/// Between two tries to open a watch.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Where discovery is, and up to which of its generations the list is known.
pub struct EndpointWatch {
    discovery: Cell<SocketAddr>,
    generation: Cell<Option<u64>>,
    moved: Notify,
    /// Whether discovery has said anything yet, or a try to hear of it has come to nothing.
    attempted: Cell<bool>,
    first_attempt: Notify,
    /// When discovery said anything last, be it that nothing has changed; the start, if it has not yet.
    last_received: Cell<Instant>,
}

impl EndpointWatch {
    /// A watch of this discovery, from the generation that is known already.
    pub fn new(discovery: SocketAddr, generation: Option<u64>) -> Self {
        EndpointWatch {
            discovery: Cell::new(discovery),
            generation: Cell::new(generation),
            moved: Notify::new(),
            attempted: Cell::new(false),
            first_attempt: Notify::new(),
            last_received: Cell::new(Instant::now()),
        }
    }

    /// For how long discovery has said nothing.
    pub fn time_since_message(&self) -> Duration {
        self.last_received.get().elapsed()
    }

    /// Waits for the first word of discovery, be it that nothing has changed, or for the first try that
    /// failed.
    pub async fn wait_for_first_attempt(&self) {
        while !self.attempted.get() {
            self.first_attempt.notified().await;
        }
    }

    fn record_attempt(&self) {
        self.attempted.set(true);
        self.first_attempt.notify_waiters();
    }

    /// The list is followed at this address from now on. One that is new may count otherwise than the one
    /// before, so it is asked for the whole list.
    pub fn set_address(&self, discovery: SocketAddr) {
        if self.discovery.replace(discovery) != discovery {
            self.generation.set(None);
            self.moved.notify_one();
        }
    }

    /// Takes in one object of a watch; an error if it can't be read, or is older than what is known.
    fn apply(&self, object: &[u8], on_update: &mut impl FnMut(EndpointUpdate)) -> Result<(), String> {
        let update =
            EndpointUpdate::decode(object).map_err(|fault| format!("a line that can't be read: {fault}"))?;
        if let Some(known) =
            self.generation.get().filter(|&known| !update.is_complete && update.generation < known)
        {
            return Err(format!("changes up to {} after those up to {known}", update.generation));
        }
        for fault in &update.errors {
            log_line!("list", "an entry is passed over: {fault}");
        }
        self.generation.set(Some(update.generation));
        on_update(update);
        Ok(())
    }
}

/// Follows the list for ever, from the generation that is known already, and keeps that up to date.
pub async fn run(source: Rc<EndpointWatch>, mut on_update: impl FnMut(EndpointUpdate)) {
    loop {
        let watching = async {
            match watch(&source, &mut on_update).await {
                Ok(()) => log_line!("list", "the watch ended; it is opened again"),
                Err(fault) => log_line!("list", "the watch failed: {fault}; it is opened again"),
            }
            source.record_attempt();
            sleep(RETRY_DELAY).await;
        };
        tokio::select! {
            biased;
            () = source.moved.notified() => log_line!("list", "followed at {} now", source.discovery.get()),
            () = watching => {}
        }
    }
}

async fn watch(
    source: &EndpointWatch,
    on_update: &mut impl FnMut(EndpointUpdate),
) -> Result<(), Box<dyn std::error::Error>> {
    let discovery = source.discovery.get();
    // Guards against discovery that is down and accepts all the same, or does not even refuse.
    let answered_by = tokio::time::Instant::now() + ANSWER_TIME_OUT;
    let socket = timeout_at(answered_by, TcpStream::connect(discovery)).await??;
    let _ = socket.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    let target = match source.generation.get() {
        Some(generation) => format!("/v1/servers?watch=1&from={generation}"),
        None => "/v1/servers?watch=1".to_string(),
    };
    let request = Request::get(target).header("host", discovery.to_string()).body(Empty::<Bytes>::new())?;
    let reading = async {
        let response = timeout_at(answered_by, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        let mut body = response.into_body();
        let mut objects = Objects::default();
        let mut complete_by = tokio::time::Instant::now() + UPDATE_DEADLINE;
        loop {
            // Guards against an object that goes on without an end, however steadily.
            if !objects.is_begun() {
                complete_by = tokio::time::Instant::now() + UPDATE_DEADLINE;
            }
            let Some(frame) = timeout_at(complete_by, timeout(SILENCE_LIMIT, body.frame())).await?? else {
                break;
            };
            if let Ok(data) = frame?.into_data() {
                source.last_received.set(Instant::now());
                // What has lost its place tells nothing any more: the whole list is asked for. Guards against
                // a drain in what was passed over, which nothing later repeats.
                objects
                    .take(&data, |object| source.apply(object, on_update))
                    .inspect_err(|_| source.generation.set(None))?;
                source.record_attempt();
            }
        }
        Ok(())
    };
    // The connection moves what the reading waits for; its own end shows there as an error or an end.
    let (mut reading, mut connection) = (pin!(reading), pin!(connection));
    let mut ended = false;
    std::future::poll_fn(|cx| {
        if !ended {
            ended = connection.as_mut().poll(cx).is_ready();
        }
        reading.as_mut().poll(cx)
    })
    .await
}
