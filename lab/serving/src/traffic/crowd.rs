//! The clients of one place: they arrive by chance and share what they know.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::client::ClientRequest;
use super::connections::Connections;
use super::directory::Directory;
use super::kinds::{Draft, RequestKind};
use crate::deployment::Place;
use crate::random::Random;
use crate::stage::Stage;

/// The clients of one place.
pub struct Crowd {
    pub(super) stage: Rc<Stage>,
    pub(super) directory: Directory,
    pub(super) connections: Connections,
    pub(super) random: RefCell<Random>,
    kinds: Vec<RequestKind>,
}

impl Crowd {
    /// Clients that ask these directories where to go.
    pub fn new(
        stage: Rc<Stage>,
        place: Place,
        directories: Vec<SocketAddr>,
        kinds: Vec<RequestKind>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Crowd {
            directory: Directory::new(stage.clone(), place, directories),
            connections: Connections::default(),
            random: RefCell::new(Random::new(seed)),
            stage,
            kinds,
        })
    }

    /// Sends so many requests a second for some time, and waits for their ends.
    pub async fn run(self: Rc<Self>, per_s: f64, length: Duration) {
        let end = Instant::now() + length;
        let mut next = Instant::now();
        let mut requests = JoinSet::new();
        loop {
            let pause = self.random.borrow_mut().exponential(1.0 / per_s);
            next += Duration::from_secs_f64(pause);
            if next >= end {
                break;
            }
            sleep_until(next).await;
            requests.spawn_local(self.clone().request());
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(self: Rc<Self>) {
        let draft = Draft::draw(&mut self.random.borrow_mut(), &self.kinds);
        let kind = draft.kind;
        let outcome = ClientRequest::new(&self, &self.kinds[kind], draft).run().await;
        self.stage.tally.borrow_mut().add(kind, outcome);
    }
}
