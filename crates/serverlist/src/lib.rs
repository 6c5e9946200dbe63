//! The list of servers as discovery tells it: whole at first, then each change as it comes. The watch is
//! opened again when it ends, and also when it has been silent for longer than discovery ever is. Discovery may
//! move to another address.

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
use tokio::time::{sleep, timeout};
use whinspindle_logline::log_line;
use whinspindle_messages::list::ListNews;

mod lines;

use lines::Lines;

/// While nothing changes an empty line comes every 2 s; silent for longer than two of them, a watch is dead.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Between two tries to open a watch.
const PAUSE: Duration = Duration::from_millis(250);

/// Where discovery is, and up to which of its generations the list is known.
pub struct Source {
    discovery: Cell<SocketAddr>,
    generation: Cell<Option<u64>>,
    moved: Notify,
    /// When discovery said anything last, be it that nothing has changed; the start, if it has not yet.
    heard: Cell<Instant>,
}

impl Source {
    pub fn new(discovery: SocketAddr, generation: Option<u64>) -> Self {
        Source {
            discovery: Cell::new(discovery),
            generation: Cell::new(generation),
            moved: Notify::new(),
            heard: Cell::new(Instant::now()),
        }
    }

    /// For how long discovery has said nothing.
    pub fn silent_for(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// The list is followed at this address from now on. One that is new may count otherwise than the one
    /// before, so it is asked for the whole list.
    pub fn move_to(&self, discovery: SocketAddr) {
        if self.discovery.replace(discovery) != discovery {
            self.generation.set(None);
            self.moved.notify_one();
        }
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
    let (discovery, known) = (source.discovery.get(), &source.generation);
    let socket = timeout(SILENCE, TcpStream::connect(discovery)).await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    let target = match known.get() {
        Some(generation) => format!("/v1/servers?watch=1&from={generation}"),
        None => "/v1/servers?watch=1".to_string(),
    };
    let request = Request::get(target).header("host", discovery.to_string()).body(Empty::<Bytes>::new())?;
    let reading = async {
        let response = timeout(SILENCE, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        let mut body = response.into_body();
        let mut lines = Lines::default();
        while let Some(frame) = timeout(SILENCE, body.frame()).await? {
            if let Ok(data) = frame?.into_data() {
                source.heard.set(Instant::now());
                lines.take(&data, |line| hear(line, known, told))?;
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

fn hear(line: &[u8], known: &Cell<Option<u64>>, told: &mut impl FnMut(ListNews)) {
    match ListNews::decode(line) {
        Ok(news) => {
            for fault in &news.faults {
                log_line!("list", "an entry is passed over: {fault}");
            }
            known.set(Some(news.generation));
            told(news);
        }
        Err(fault) => log_line!("list", "a line is passed over: {fault}"),
    }
}
