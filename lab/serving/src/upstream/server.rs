//! Listens, checks each request as an upstream does, and hands it to the workload.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::announcer;
use super::answer::{Answer, misdirected, not_run, set_header, sign, whole};
use super::instance::{Upstream, UpstreamSpec, Workload};
use super::lookups::LookupPool;
use super::model;
use crate::control_client::ControlClient;
use crate::headers::{COLD_MS, DEADLINE, EXPECT_INSTANCE, INSTANCE_ID, REQUEST_ID, number, text};
use crate::operator::{HEALTH_PATH, LOOKUP_CONNECTIONS, MODEL_CONNECTIONS};
use crate::random::Random;
use crate::referee::Violation;
use crate::stage::Stage;
use crate::traffic::{LOOKUP_ANSWER_BYTES, lookup_answer, request_body};

const LOOKUP_MEAN_MS: f64 = 30.0;
const LOOKUP_MOST_MS: u64 = 220;

/// The upstream's address can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("listening on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// An upstream that listens. Dropping it ends it at once, with all its connections.
pub struct RunningUpstream {
    pub upstream: Rc<Upstream>,
    tasks: JoinSet<()>,
}

impl RunningUpstream {
    /// Starts listening and telling the controllers.
    pub async fn start(
        spec: UpstreamSpec,
        stage: &Rc<Stage>,
        contacts: &[SocketAddr],
        first_contact: usize,
    ) -> Result<Self, ListenError> {
        let address = spec.address;
        let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let upstream = Upstream::new(spec, stage.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn_local(accept(upstream.clone(), listener));
        if let Workload::Model(host) = &upstream.workload {
            tasks.spawn_local(host.clone().run());
        }
        let client = ControlClient::new(contacts.to_vec(), first_contact);
        tasks.spawn_local(announcer::announce(upstream.clone(), client));
        Ok(RunningUpstream { upstream, tasks })
    }

    /// Waits until the upstream has left in order.
    pub async fn left(mut self) {
        // The announcer is the only task that ends.
        self.tasks.join_next().await;
    }
}

async fn accept(upstream: Rc<Upstream>, listener: TcpListener) {
    let most =
        if matches!(upstream.workload, Workload::Model(_)) { MODEL_CONNECTIONS } else { LOOKUP_CONNECTIONS };
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if connections.len() < most as usize {
            connections.spawn_local(serve(upstream.clone(), stream));
        }
    }
}

async fn serve(upstream: Rc<Upstream>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let upstream = upstream.clone();
        async move { Ok::<Answer, Infallible>(handle(&upstream, request).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn handle(upstream: &Rc<Upstream>, request: Request<Incoming>) -> Answer {
    let mut answer = match (request.method(), request.uri().path()) {
        (&Method::GET, HEALTH_PATH) => health(upstream),
        (&Method::GET, "/report") => report(upstream),
        _ => take(upstream, request).await,
    };
    if upstream.is_draining() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn health(upstream: &Upstream) -> Answer {
    let status = if upstream.is_draining() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    let mut answer = whole(status, "");
    set_header(&mut answer, INSTANCE_ID, Some(&upstream.spec.instance));
    let cold_ms = upstream.cold_ms();
    if cold_ms > 0 {
        set_header(&mut answer, COLD_MS, Some(&cold_ms.to_string()));
    }
    answer
}

fn report(upstream: &Upstream) -> Answer {
    let mut answer = whole(StatusCode::OK, announcer::report_text(upstream));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

async fn take(upstream: &Rc<Upstream>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Some(id) = text(&head.headers, &REQUEST_ID).map(str::to_owned) else {
        return not_run(StatusCode::BAD_REQUEST, None);
    };
    let expected = text(&head.headers, &EXPECT_INSTANCE);
    if expected.is_some_and(|expected| expected != upstream.spec.instance) {
        return misdirected(&upstream.spec.instance, Some(&id));
    }
    let now = upstream.stage.now_ms();
    upstream.stage.referee.borrow_mut().arrived(now, &id, &upstream.place);
    let Ok(body) = body.collect().await else {
        return not_run(StatusCode::BAD_REQUEST, Some(&id));
    };
    let body = body.to_bytes();
    let path_names_it = head.uri.path().ends_with(&id);
    if head.method != Method::POST || !path_names_it || body != request_body(&id, body.len()) {
        upstream.stage.referee.borrow_mut().found(Violation::Changed { request: id.clone() });
    }
    match &upstream.workload {
        Workload::Model(host) => model::answer(upstream, host, &id, &head.headers).await,
        Workload::Lookups(pool) => look_up(upstream, pool, &id, &head.headers).await,
    }
}

async fn look_up(upstream: &Upstream, pool: &LookupPool, request: &str, headers: &HeaderMap) -> Answer {
    let left = Duration::from_millis(number(headers, &DEADLINE).unwrap_or(u64::from(u32::MAX)));
    let Ok(Some(_place)) = timeout(left, pool.enter()).await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, Some(request));
    };
    upstream.stage.referee.borrow_mut().ran(request, &upstream.spec.instance);
    let seed = request.bytes().fold(0u64, |seed, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let work_ms = Random::new(seed).size(LOOKUP_MEAN_MS, LOOKUP_MOST_MS);
    sleep(Duration::from_millis(work_ms)).await;
    let answer = whole(StatusCode::OK, lookup_answer(request, LOOKUP_ANSWER_BYTES));
    sign(answer, request, &upstream.stamp(request))
}
