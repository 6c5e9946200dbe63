//! Runs an engine in real time and passes on what comes of its work.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep_until;

use crate::engine::{Engine, EngineLoad, EngineSettings, Progress, Rejected, Work, WorkId};
use crate::stage::Stage;

/// What a request learns of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    Event { id: u64, last: bool },
    Expired { started: bool },
}

/// An engine with the requests that wait for it.
pub struct EngineHost {
    engine: RefCell<Engine>,
    waiting: RefCell<HashMap<WorkId, Waiting>>,
    last_work: Cell<WorkId>,
    wake: Notify,
    stage: Rc<Stage>,
    instance: String,
}

struct Waiting {
    request: String,
    updates: UnboundedSender<Update>,
}

/// A piece of work under way; dropping it cancels the work.
pub struct Ticket {
    host: Rc<EngineHost>,
    work: WorkId,
    updates: UnboundedReceiver<Update>,
}

impl EngineHost {
    pub fn new(settings: EngineSettings, stage: Rc<Stage>, instance: &str) -> Rc<Self> {
        Rc::new(EngineHost {
            engine: RefCell::new(Engine::new(settings)),
            waiting: RefCell::default(),
            last_work: Cell::new(0),
            wake: Notify::new(),
            stage,
            instance: instance.to_owned(),
        })
    }

    /// Hands work over; its id is set here.
    pub fn submit(self: &Rc<Self>, request: &str, mut work: Work) -> Result<Ticket, Rejected> {
        work.id = self.last_work.get() + 1;
        let id = work.id;
        self.engine.borrow_mut().submit(work)?;
        self.last_work.set(id);
        let (sender, updates) = unbounded_channel();
        let waiting = Waiting { request: request.to_owned(), updates: sender };
        self.waiting.borrow_mut().insert(id, waiting);
        self.wake.notify_one();
        Ok(Ticket { host: self.clone(), work: id, updates })
    }

    /// Lets the engine go on for as long as the upstream lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.advance();
            let next = self.engine.borrow().next_step_us();
            match next {
                None => self.wake.notified().await,
                Some(next) => sleep_until(self.stage.at_us(next)).await,
            }
        }
    }

    /// The load at this moment.
    pub fn load(&self) -> EngineLoad {
        self.engine.borrow().load()
    }

    fn advance(&self) {
        let progress = self.engine.borrow_mut().advance(self.stage.now_us());
        for progress in progress {
            self.note(progress);
        }
    }

    fn note(&self, progress: Progress) {
        match progress {
            Progress::Admitted { reused, missing, .. } => {
                let now = self.stage.now_ms();
                let mut ledger = self.stage.ledger.borrow_mut();
                reused.into_iter().for_each(|key| ledger.reuse(now, key));
                missing.iter().for_each(|part| ledger.read(now, part));
            }
            Progress::Started { work } => {
                if let Some(waiting) = self.waiting.borrow().get(&work) {
                    self.stage.referee.borrow_mut().ran(&waiting.request, &self.instance);
                }
            }
            Progress::Event { work, id, last } => self.update(work, Update::Event { id, last }),
            Progress::Expired { work, started } => self.update(work, Update::Expired { started }),
            Progress::PutBack { .. } => {}
        }
    }

    fn update(&self, work: WorkId, update: Update) {
        if let Some(waiting) = self.waiting.borrow().get(&work) {
            let _ = waiting.updates.send(update);
        }
    }
}

impl Ticket {
    /// The next update; none once the work is over.
    pub async fn next(&mut self) -> Option<Update> {
        self.updates.recv().await
    }

    /// As `next`, for bodies that are polled.
    pub fn poll_next(&mut self, context: &mut std::task::Context<'_>) -> std::task::Poll<Option<Update>> {
        self.updates.poll_recv(context)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.host.engine.borrow_mut().cancel(self.work);
        self.host.waiting.borrow_mut().remove(&self.work);
    }
}
