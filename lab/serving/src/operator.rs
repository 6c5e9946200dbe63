//! The operator: writes configurations, sends them until they are taken, and reads them back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::SerJson;
use snafu::Snafu;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use whinspindle_configuration::Configuration;

use crate::control_client::{Call, CallError, ControlClient, call_one};
use crate::engine::EngineSettings;
use crate::referee::Violation;
use crate::stage::Stage;
use crate::traffic::{LOOKUP_SERVICE, MODEL_NAME, MODEL_SERVICE, RequestKind};

/// The host of all routes.
pub const HOST: &str = "models.example";
pub const HEALTH_PATH: &str = "/healthz";
pub const COLD_S: f64 = 3.0;
pub const COLD_PER_S: f64 = 9.9;
pub const LOOKUP_CONNECTIONS: u32 = 96;
pub const MODEL_CONNECTIONS: u32 = 610;

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_millis(800);
/// How long balancers may take to put a configuration in force.
pub const CONVERGE_TIME: Duration = Duration::from_millis(2_500);
/// How long the operator asks again at the end.
const READ_BACK_TIME: Duration = Duration::from_secs(4);

/// Why an order was not taken.
#[derive(Debug, Snafu)]
pub enum OrderError {
    #[snafu(display("generation {generation} was refused with {status}: {body}"))]
    Refused { generation: u64, status: u16, body: String },
    #[snafu(display("generation {generation} was not taken in time; last: {last}"))]
    TimedOut { generation: u64, last: CallError },
}

#[derive(SerJson)]
struct ConfigurationFile {
    generation: u64,
    routes: Vec<RouteEntry>,
    services: Vec<ServiceEntry>,
    limits: LimitsEntry,
}

#[derive(SerJson)]
struct RouteEntry {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: u64,
    target_ms: u64,
    priority: u8,
    backend: String,
    retries: usize,
    sticky: bool,
    resumable: bool,
    gap_aim_ms: Option<u64>,
    home_regions: Vec<String>,
}

#[derive(SerJson)]
struct ServiceEntry {
    name: String,
    health_path: String,
    max_conns: u32,
    protocol: String,
    tls: bool,
    cold_s: f64,
    cold_per_s: f64,
    engine: Option<EngineEntry>,
}

#[derive(SerJson)]
struct EngineEntry {
    slots: usize,
    kv_capacity: u64,
    stride: u64,
    models: Vec<ModelEntry>,
}

#[derive(SerJson)]
struct ModelEntry {
    name: String,
}

#[derive(SerJson)]
struct LimitsEntry {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// Sends configurations and remembers the newest that was acknowledged.
pub struct Operator {
    stage: Rc<Stage>,
    client: ControlClient,
    contacts: Vec<SocketAddr>,
    acknowledged: Option<Acknowledged>,
}

struct Acknowledged {
    generation: u64,
    body: Bytes,
}

impl Operator {
    pub fn new(stage: Rc<Stage>, contacts: Vec<SocketAddr>) -> Self {
        let client = ControlClient::new(contacts.clone(), 0);
        Operator { stage, client, contacts, acknowledged: None }
    }

    /// Sends a configuration on top of the newest until it is taken.
    pub async fn replace(&mut self, kinds: &[RequestKind], within: Duration) -> Result<u64, OrderError> {
        let base = self.acknowledged.as_ref().map_or(0, |newest| newest.generation);
        let generation = base + 1;
        let body = Bytes::from(configuration_text(generation, kinds));
        let mut call = Call::post("/Config.Replace", body.clone());
        call.base_version = Some(base);
        let deadline = Instant::now() + within;
        let mut pause = FIRST_PAUSE;
        loop {
            match self.client.call(&call).await {
                Ok(answer) if answer.status.is_success() => break,
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    return RefusedSnafu { generation, status: answer.status.as_u16(), body }.fail();
                }
                Err(last) if Instant::now() >= deadline => {
                    return TimedOutSnafu { generation, last }.fail();
                }
                Err(_) => sleep(pause).await,
            }
            pause = (pause * 2).min(MOST_PAUSE);
        }
        self.acknowledged = Some(Acknowledged { generation, body });
        self.use_when_in_force(generation);
        Ok(generation)
    }

    /// Lets clients use the routes of a generation once all balancers must know it.
    fn use_when_in_force(&self, generation: u64) {
        let stage = self.stage.clone();
        spawn_local(async move {
            sleep(CONVERGE_TIME).await;
            stage.generation.set(stage.generation.get().max(generation));
        });
    }

    /// Reads the configuration back from each controller and reports what was lost or changed.
    pub async fn read_back(&self) {
        let Some(newest) = &self.acknowledged else { return };
        for &contact in &self.contacts {
            if let Some(violation) = read_back_from(contact, newest).await {
                self.stage.referee.borrow_mut().found(violation);
            }
        }
    }
}

async fn read_back_from(contact: SocketAddr, newest: &Acknowledged) -> Option<Violation> {
    let deadline = Instant::now() + READ_BACK_TIME;
    loop {
        let violation = check_read_back(contact, newest).await?;
        if Instant::now() >= deadline {
            return Some(violation);
        }
        sleep(MOST_PAUSE).await;
    }
}

async fn check_read_back(contact: SocketAddr, newest: &Acknowledged) -> Option<Violation> {
    let from = contact.to_string();
    let found = fetch(contact).await;
    let generation = found.as_ref().map(|found| found.generation);
    if generation != Some(newest.generation) {
        let acknowledged = newest.generation;
        return Some(Violation::ConfigurationLost { acknowledged, found: generation, from });
    }
    let sent = Configuration::parse(&newest.body).ok();
    (sent != found).then_some(Violation::ConfigurationChanged { generation: newest.generation, from })
}

async fn fetch(contact: SocketAddr) -> Option<Configuration> {
    let answer = call_one(contact, &Call::get("/Config.Fetch")).await.ok()?;
    Configuration::parse(&answer.body).ok().filter(|_| answer.status.is_success())
}

/// A configuration with the routes of its generation and of the one before, so that clients may change over.
fn configuration_text(generation: u64, kinds: &[RequestKind]) -> String {
    let generations = [generation - 1, generation];
    let routes_of = |generation: u64| kinds.iter().map(move |kind| route(kind, generation));
    let routes = generations.into_iter().flat_map(routes_of).collect();
    let file = ConfigurationFile {
        generation,
        routes,
        services: vec![model_service(), lookup_service()],
        limits: LimitsEntry {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    };
    file.serialize_json()
}

fn route(kind: &RequestKind, generation: u64) -> RouteEntry {
    let stream = kind.stream.as_ref();
    RouteEntry {
        name: format!("{}-{generation}", kind.name),
        host: HOST.to_owned(),
        path_prefix: kind.prefix_of(generation),
        kind: if stream.is_some() { "streaming" } else { "unsafe" }.to_owned(),
        timeout_ms: kind.deadline_ms,
        target_ms: kind.target_ms,
        priority: kind.priority,
        backend: kind.service.to_owned(),
        retries: kind.most_upstreams,
        sticky: stream.is_some(),
        resumable: stream.is_some_and(|stream| stream.resumable),
        gap_aim_ms: stream.map(|stream| stream.gap_aim_ms),
        home_regions: kind.home_regions.clone(),
    }
}

fn model_service() -> ServiceEntry {
    let engine = EngineSettings::default();
    ServiceEntry {
        name: MODEL_SERVICE.to_owned(),
        health_path: HEALTH_PATH.to_owned(),
        max_conns: MODEL_CONNECTIONS,
        protocol: "h1".to_owned(),
        tls: false,
        cold_s: COLD_S,
        cold_per_s: COLD_PER_S,
        engine: Some(EngineEntry {
            slots: engine.slots,
            kv_capacity: engine.memory_tokens,
            stride: engine.tokens_per_event,
            models: vec![ModelEntry { name: MODEL_NAME.to_owned() }],
        }),
    }
}

fn lookup_service() -> ServiceEntry {
    ServiceEntry {
        name: LOOKUP_SERVICE.to_owned(),
        health_path: HEALTH_PATH.to_owned(),
        max_conns: LOOKUP_CONNECTIONS,
        protocol: "h1".to_owned(),
        tls: false,
        cold_s: 0.0,
        cold_per_s: 0.0,
        engine: None,
    }
}
