//! Where a client connects: asked of the controllers, and kept for as long as the answer allows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use nanoserde::DeJson;

use crate::control_client::{Call, call_one};
use crate::deployment::Place;
use crate::operator::HOST;
use crate::stage::Stage;

const MOST_TTL_S: f64 = 5.0;

#[derive(DeJson)]
struct ResolveAnswer {
    addrs: Vec<String>,
    ttl_s: f64,
}

/// The addresses that the clients of one place know.
pub struct Directory {
    stage: Rc<Stage>,
    place: Place,
    /// Near ones first.
    servers: Vec<SocketAddr>,
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    addresses: Vec<SocketAddr>,
    until: u64,
    /// An answer is being asked for.
    asking: bool,
}

impl Directory {
    pub fn new(stage: Rc<Stage>, place: Place, servers: Vec<SocketAddr>) -> Self {
        Directory { stage, place, servers, known: RefCell::default() }
    }

    /// The addresses to choose from. An answer that has run out serves on until there is a new one.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        let now = self.stage.now_ms();
        let asks = {
            let mut known = self.known.borrow_mut();
            let asks = now >= known.until && (!known.asking || known.addresses.is_empty());
            known.asking |= asks;
            asks
        };
        if asks {
            let answer = self.ask().await;
            let mut known = self.known.borrow_mut();
            known.asking = false;
            if let Some((addresses, ttl_ms)) = answer {
                known.addresses = addresses;
                known.until = self.stage.now_ms() + ttl_ms;
            }
        }
        self.known.borrow().addresses.clone()
    }

    async fn ask(&self) -> Option<(Vec<SocketAddr>, u64)> {
        let Place { zone, region } = &self.place;
        let call = Call::get(format!("/resolve?name={HOST}&region={region}&zone={zone}"));
        for &server in &self.servers {
            let answer = call_one(server, &call).await.ok().filter(|answer| answer.status.is_success());
            let answer = answer.and_then(|answer| parse(&answer.body));
            if answer.is_some() {
                return answer;
            }
        }
        None
    }
}

fn parse(body: &[u8]) -> Option<(Vec<SocketAddr>, u64)> {
    let answer = ResolveAnswer::deserialize_json(std::str::from_utf8(body).ok()?).ok()?;
    let addresses: Vec<SocketAddr> =
        answer.addrs.iter().map(|address| address.parse()).collect::<Result<_, _>>().ok()?;
    let ttl_ms = (answer.ttl_s.clamp(0.0, MOST_TTL_S) * 1_000.0) as u64;
    (!addresses.is_empty()).then_some((addresses, ttl_ms))
}
