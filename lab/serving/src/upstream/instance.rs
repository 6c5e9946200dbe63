//! One incarnation of an upstream: who it is and how it stands.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::engine_host::EngineHost;
use super::lookups::LookupPool;
use crate::deployment::Place;
use crate::engine::{EngineLoad, EngineSettings};
use crate::operator::COLD_PER_S;
use crate::referee::UpstreamPlace;
use crate::stage::Stage;
use crate::traffic::MODEL_SERVICE;

/// A report is as old as this at most.
const REPORT_LAG_MS: u64 = 100;

/// What an upstream is started as.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    pub instance: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub place: Place,
    /// How long it is slow from its start; 0 if it starts before traffic does.
    pub cold_ms: u64,
}

/// What it does with requests.
pub enum Workload {
    Model(Rc<EngineHost>),
    Lookups(LookupPool),
}

/// A running incarnation.
pub struct Upstream {
    pub spec: UpstreamSpec,
    pub stage: Rc<Stage>,
    pub workload: Workload,
    pub place: UpstreamPlace,
    started_at: u64,
    draining_since: Cell<Option<u64>>,
    drain_acknowledged_at: Cell<Option<u64>>,
    /// Wakes the announcer when there is news.
    pub news: Notify,
    stamps: Cell<u64>,
    report: Cell<(u64, EngineLoad)>,
}

impl Upstream {
    /// A new incarnation, before it listens.
    pub fn new(spec: UpstreamSpec, stage: Rc<Stage>) -> Rc<Self> {
        let now = stage.now_ms();
        let place = UpstreamPlace {
            instance: spec.instance.clone(),
            service: spec.service.to_owned(),
            region: spec.place.region.clone(),
        };
        let workload = if spec.service == MODEL_SERVICE {
            Workload::Model(EngineHost::new(EngineSettings::default(), stage.clone(), &spec.instance))
        } else {
            Workload::Lookups(LookupPool::new())
        };
        if spec.cold_ms > 0 {
            stage.referee.borrow_mut().turned_cold(now, &spec.instance, spec.cold_ms, COLD_PER_S);
        }
        Rc::new(Upstream {
            spec,
            stage,
            workload,
            place,
            started_at: now,
            draining_since: Cell::new(None),
            drain_acknowledged_at: Cell::new(None),
            news: Notify::new(),
            stamps: Cell::new(0),
            report: Cell::default(),
        })
    }

    /// Says from now on that it is leaving.
    pub fn start_draining(&self) {
        self.draining_since.set(Some(self.stage.now_ms()));
        self.news.notify_one();
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// A controller has taken note that it is leaving.
    pub fn drain_was_acknowledged(&self) {
        let now = self.stage.now_ms();
        self.drain_acknowledged_at.set(Some(now));
        self.stage.referee.borrow_mut().drain_acknowledged(now, &self.spec.instance);
    }

    /// From the start of draining to its acknowledgement; none if it was not acknowledged.
    pub fn drain_acknowledged_after_ms(&self) -> Option<u64> {
        Some(self.drain_acknowledged_at.get()? - self.draining_since.get()?)
    }

    /// How much longer it is cold.
    pub fn cold_ms(&self) -> u64 {
        (self.started_at + self.spec.cold_ms).saturating_sub(self.stage.now_ms())
    }

    /// A new stamp for an answer to this request.
    pub fn stamp(&self, request: &str) -> String {
        self.stamps.set(self.stamps.get() + 1);
        let stamp = format!("{}.{}.{request}", self.spec.instance, self.stamps.get());
        self.stage.referee.borrow_mut().stamped(request, &stamp);
        stamp
    }

    /// Its load as of a moment ago.
    pub fn load(&self) -> EngineLoad {
        let now = self.stage.now_ms();
        let (taken_at, load) = self.report.get();
        if now < taken_at + REPORT_LAG_MS && taken_at > 0 {
            return load;
        }
        let load = match &self.workload {
            Workload::Model(host) => host.load(),
            Workload::Lookups(pool) => pool.load(),
        };
        self.report.set((now, load));
        load
    }
}
