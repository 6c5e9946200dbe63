//! Tells the controllers of an upstream: heartbeats while it lives, and its orderly end.

use std::time::Duration;

use nanoserde::SerJson;
use tokio::time::{Instant, sleep, timeout};

use super::instance::{Upstream, Workload};
use super::lookups::LookupPool;
use crate::control_client::{Call, ControlClient};
use crate::engine::EngineSettings;
use crate::settings_file::HEARTBEAT_MS;
use crate::traffic::MODEL_NAME;

/// How long a draining upstream serves on after the acknowledgement.
const DRAIN_TIME: Duration = Duration::from_millis(2_500 + 1_500);
/// How long it asks for the acknowledgement before it ends without.
const MOST_WAIT: Duration = Duration::from_secs(8);
/// How long it waits for requests under way, beyond the time for draining.
const MOST_LINGER: Duration = Duration::from_secs(6);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const STAGE_NAME: &str = "hybrid";
const SOFTWARE_GENERATION: &str = "v1";

#[derive(SerJson)]
struct HeartbeatBody {
    backend: String,
    address: String,
    zone: String,
    generation: String,
    slots: usize,
    state: String,
    cold_ms: u64,
    stage: String,
    models: Vec<ModelEntry>,
    seq: u64,
}

#[derive(SerJson)]
struct ReportBody {
    stage: String,
    models: Vec<ModelEntry>,
    utilization: bool,
    seq: u64,
    queued: usize,
    running: usize,
    kv_used: u64,
    kv_total: u64,
    handles: u64,
}

#[derive(SerJson)]
struct ModelEntry {
    name: String,
    generation: u64,
    adapters: Vec<String>,
}

/// Tells of the upstream until it has left.
pub async fn announce(upstream: std::rc::Rc<Upstream>, client: ControlClient) {
    let mut sequence = 0;
    while !upstream.is_draining() {
        sequence += 1;
        let answered = client.call(&heartbeat(&upstream, sequence)).await.is_ok();
        let pause = if answered { Duration::from_millis(HEARTBEAT_MS) } else { RETRY_PAUSE };
        let _ = timeout(pause, upstream.news.notified()).await;
    }
    leave(&upstream, &client, sequence).await;
}

async fn leave(upstream: &Upstream, client: &ControlClient, mut sequence: u64) {
    let deadline = Instant::now() + MOST_WAIT;
    loop {
        sequence += 1;
        let answer = client.call(&heartbeat(upstream, sequence)).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            upstream.drain_was_acknowledged();
            break;
        }
        if Instant::now() >= deadline {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
    sleep(DRAIN_TIME).await;
    finish_work(upstream).await;
    let _ = client.call(&Call::post(format!("/Instances.Deregister/{}", upstream.spec.instance), "")).await;
}

/// Lets requests under way end, for a while.
async fn finish_work(upstream: &Upstream) {
    let deadline = Instant::now() + MOST_LINGER;
    while upstream.load().running > 0 && Instant::now() < deadline {
        sleep(RETRY_PAUSE).await;
    }
}

fn heartbeat(upstream: &Upstream, sequence: u64) -> Call {
    let body = HeartbeatBody {
        backend: upstream.spec.service.to_owned(),
        address: upstream.spec.address.to_string(),
        zone: upstream.spec.place.zone.clone(),
        generation: SOFTWARE_GENERATION.to_owned(),
        slots: slots(upstream),
        state: if upstream.is_draining() { "draining" } else { "ready" }.to_owned(),
        cold_ms: upstream.cold_ms(),
        stage: STAGE_NAME.to_owned(),
        models: models(upstream),
        seq: sequence,
    };
    Call::post(format!("/Instances.Heartbeat/{}", upstream.spec.instance), body.serialize_json())
}

/// The body of a report on the upstream's load.
pub fn report_text(upstream: &Upstream) -> String {
    let load = upstream.load();
    let report = ReportBody {
        stage: STAGE_NAME.to_owned(),
        models: models(upstream),
        utilization: false,
        seq: 0,
        queued: load.queued,
        running: load.running,
        kv_used: load.used_tokens,
        kv_total: load.memory_tokens,
        handles: 0,
    };
    report.serialize_json()
}

fn slots(upstream: &Upstream) -> usize {
    match upstream.workload {
        Workload::Model(_) => EngineSettings::default().slots,
        Workload::Lookups(_) => LookupPool::slots(),
    }
}

fn models(upstream: &Upstream) -> Vec<ModelEntry> {
    match upstream.workload {
        Workload::Model(_) => {
            vec![ModelEntry { name: MODEL_NAME.to_owned(), generation: 1, adapters: Vec::new() }]
        }
        Workload::Lookups(_) => Vec::new(),
    }
}
