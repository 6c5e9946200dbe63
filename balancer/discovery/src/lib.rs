//! The list of servers as discovery tells it: whole at first, then each change as it comes. The watch is
//! opened again when it ends, and also when it has been silent for longer than discovery ever is. Discovery
//! may move to another address.

#![allow(missing_docs, reason = "not every public item is documented yet")]

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
use whinspindle_protocol::list::ListNews;
use whinspindle_rate_limited_log::log_line;

mod objects;

use objects::Objects;

/// A change counts as told so long after discovery had it and could be reached. A watch that falls silent, a
/// try that hangs and the one that works, with the pauses between them, have to fit in, not each by itself.
const TOLD: Duration = Duration::from_secs(6);
/// While nothing changes an empty line comes every 2 s; silent for one and a half of that, a watch is dead.
const SILENCE: Duration = TOLD.checked_div(2).expect("not by 0");
/// Discovery answers at once: what has not connected and told its head by then hangs.
const ANSWER: Duration = TOLD.checked_div(6).expect("not by 0");
/// Between two tries to open a watch.
const PAUSE: Duration = Duration::from_millis(250);

/// Where discovery is, and up to which of its generations the list is known.
pub struct Source {
    discovery: Cell<SocketAddr>,
    generation: Cell<Option<u64>>,
    moved: Notify,
    /// Whether discovery has said anything yet, or a try to hear of it has come to nothing.
    tried: Cell<bool>,
    first_try: Notify,
    /// When discovery said anything last, be it that nothing has changed; the start, if it has not yet.
    heard: Cell<Instant>,
}

impl Source {
    pub fn new(discovery: SocketAddr, generation: Option<u64>) -> Self {
        Source {
            discovery: Cell::new(discovery),
            generation: Cell::new(generation),
            moved: Notify::new(),
            tried: Cell::new(false),
            first_try: Notify::new(),
            heard: Cell::new(Instant::now()),
        }
    }

    /// For how long discovery has said nothing.
    pub fn silent_for(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// Waits for the first word of discovery, be it that nothing has changed, or for the first try that
    /// failed.
    pub async fn first_tried(&self) {
        while !self.tried.get() {
            self.first_try.notified().await;
        }
    }

    fn has_tried(&self) {
        self.tried.set(true);
        self.first_try.notify_waiters();
    }

    /// The list is followed at this address from now on. One that is new may count otherwise than the one
    /// before, so it is asked for the whole list.
    pub fn move_to(&self, discovery: SocketAddr) {
        if self.discovery.replace(discovery) != discovery {
            self.generation.set(None);
            self.moved.notify_one();
        }
    }

    /// Takes in one object of a watch; an error if it can't be read, or is older than what is known.
    fn hear(&self, object: &[u8], told: &mut impl FnMut(ListNews)) -> Result<(), String> {
        let news = ListNews::decode(object).map_err(|fault| format!("a line that can't be read: {fault}"))?;
        if let Some(known) = self.generation.get().filter(|&known| !news.whole && news.generation < known) {
            return Err(format!("changes up to {} after those up to {known}", news.generation));
        }
        for fault in &news.faults {
            log_line!("list", "an entry is passed over: {fault}");
        }
        self.generation.set(Some(news.generation));
        told(news);
        Ok(())
    }
}

/// Follows the list for ever, from the generation that is known already, and keeps that up to date.
pub async fn follow(source: Rc<Source>, mut told: impl FnMut(ListNews)) {
    loop {
        let watching = async {
            match watch(&source, &mut told).await {
                Ok(()) => log_line!("list", "the watch ended; it is opened again"),
                Err(fault) => log_line!("list", "the watch failed: {fault}; it is opened again"),
            }
            source.has_tried();
            sleep(PAUSE).await;
        };
        tokio::select! {
            biased;
            () = source.moved.notified() => log_line!("list", "followed at {} now", source.discovery.get()),
            () = watching => {}
        }
    }
}

async fn watch(source: &Source, told: &mut impl FnMut(ListNews)) -> Result<(), Box<dyn std::error::Error>> {
    let discovery = source.discovery.get();
    // Guards against discovery that is down and accepts all the same, or does not even refuse.
    let answered_by = tokio::time::Instant::now() + ANSWER;
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
        let mut whole_by = tokio::time::Instant::now() + TOLD;
        loop {
            // Guards against an object that goes on without an end, however steadily.
            if !objects.is_begun() {
                whole_by = tokio::time::Instant::now() + TOLD;
            }
            let Some(frame) = timeout_at(whole_by, timeout(SILENCE, body.frame())).await?? else { break };
            if let Ok(data) = frame?.into_data() {
                source.heard.set(Instant::now());
                // What has lost its place tells nothing any more: the whole list is asked for. Guards against
                // a drain in what was passed over, which nothing later repeats.
                objects
                    .take(&data, |object| source.hear(object, told))
                    .inspect_err(|_| source.generation.set(None))?;
                source.has_tried();
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
