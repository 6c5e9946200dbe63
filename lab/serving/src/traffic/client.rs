//! One request of a client, with its tries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST as HOST_HEADER, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};

use super::connections::{Sender, connect};
use super::content::{LOOKUP_ANSWER_BYTES, lookup_answer, request_body};
use super::crowd::Crowd;
use super::event_reader::EventReader;
use super::kinds::{Draft, MODEL_NAME, RequestKind};
use crate::engine::EngineSettings;
use crate::headers::{
    DEADLINE, LAST_EVENT_ID, MODEL, PREFIX_HASH, REQUEST_ID, SERVER_STAMP, TOKEN_COUNT, text,
};
use crate::operator::HOST;
use crate::referee::{RequestRules, Violation, is_promise};
use crate::tally::{FailedTry, Failure, Outcome};

/// Tries of a client.
const MOST_TRIES: usize = 2;

/// A connection that ends so shortly before the deadline has ended for it.
const DEADLINE_SLACK_MS: u64 = 50;

/// How a try ended.
enum Try {
    Served,
    /// The connection was closed before the request was on its way.
    Unsent,
    /// A promise that the request has not run, and when to come back.
    Promised {
        status: u16,
        retry_after: Duration,
        reason: String,
    },
    Failed(Failure),
}

/// A request from its first try to its end.
pub struct ClientRequest<'a> {
    crowd: &'a Crowd,
    kind: &'a RequestKind,
    draft: Draft,
    began_at: u64,
    reader: EventReader,
    failed_addresses: Vec<SocketAddr>,
    lookup_ms: u64,
}

impl<'a> ClientRequest<'a> {
    pub fn new(crowd: &'a Crowd, kind: &'a RequestKind, draft: Draft) -> Self {
        let began_at = crowd.stage.now_ms();
        let reader = EventReader::new(began_at, draft.session, draft.events);
        ClientRequest { crowd, kind, draft, began_at, reader, failed_addresses: Vec::new(), lookup_ms: 0 }
    }

    /// Sends it, again where the protocol lets clients do so, and tells how it ended.
    pub async fn run(mut self) -> Outcome {
        let mut tries = 0;
        loop {
            tries += 1;
            let last = self.try_once(tries == 1).await;
            let may_repeat = tries < MOST_TRIES && self.left_ms() > 0;
            match last {
                Try::Served => return self.served(),
                Try::Promised { retry_after, .. } if may_repeat => {
                    let most = Duration::from_millis(self.left_ms() / 3);
                    sleep(retry_after.min(most)).await;
                }
                Try::Failed(_) if may_repeat && self.kind.is_repeatable() => {}
                Try::Unsent if may_repeat => {}
                Try::Unsent => return Outcome::Failed(Failure::NoConnection),
                Try::Promised { status, .. } => return Outcome::Refused { status },
                Try::Failed(failure) => return Outcome::Failed(failure),
            }
            self.crowd.stage.tally.borrow_mut().retries += 1;
            self.reader.resume();
        }
    }

    fn served(&self) -> Outcome {
        let first_event_ms = self.reader.first_event_ms().unwrap_or(self.lookup_ms);
        let gap_aim_ms = self.kind.stream.as_ref().map_or(u64::MAX, |stream| stream.gap_aim_ms);
        let in_time = first_event_ms <= self.kind.target_ms && self.reader.longest_pause_ms() <= gap_aim_ms;
        Outcome::Served { in_time, first_event_ms }
    }

    async fn try_once(&mut self, may_reuse: bool) -> Try {
        let Some(address) = self.pick_address().await else { return Try::Failed(Failure::NoAddress) };
        let idle = self.crowd.connections.take_idle(address).filter(|_| may_reuse);
        let sender = match idle {
            Some(sender) => Some(sender),
            None => connect(address).await,
        };
        let Some(mut sender) = sender else {
            self.failed_addresses.push(address);
            return Try::Failed(Failure::NoConnection);
        };
        let from_ms = self.crowd.stage.now_ms();
        let id = format!("{:016x}", self.crowd.random.borrow_mut().bits());
        let result = self.exchange(&id, &mut sender).await;
        self.note(&result, from_ms, id, address);
        match result {
            Try::Failed(_) | Try::Unsent => self.failed_addresses.push(address),
            Try::Served | Try::Promised { .. } => self.crowd.connections.give_back(address, sender),
        }
        result
    }

    async fn pick_address(&self) -> Option<SocketAddr> {
        let addresses = self.crowd.directory.addresses().await;
        self.crowd.connections.keep_only(&addresses);
        let good: Vec<SocketAddr> =
            addresses.iter().copied().filter(|address| !self.failed_addresses.contains(address)).collect();
        let choice = if good.is_empty() { &addresses } else { &good };
        choice.get(self.crowd.random.borrow_mut().index(choice.len())).copied()
    }

    /// Notes a try that was not served.
    fn note(&self, result: &Try, from_ms: u64, request: String, front: SocketAddr) {
        let end = match result {
            Try::Served => return,
            Try::Unsent => "closed before it was sent".to_owned(),
            Try::Failed(failure) => format!("{failure:?}"),
            Try::Promised { status, retry_after, reason } => {
                format!("{status}, come back after {} ms: {reason}", retry_after.as_millis())
            }
        };
        let (to_ms, kind) = (self.crowd.stage.now_ms(), self.kind.name);
        let failed = FailedTry { from_ms, to_ms, kind, request, front, end };
        self.crowd.stage.tally.borrow_mut().failed_tries.push(failed);
    }

    async fn exchange(&mut self, id: &str, sender: &mut Sender) -> Try {
        let now = self.crowd.stage.now_ms();
        self.crowd.stage.referee.borrow_mut().sent(now, id, self.rules());
        let Ok(request) = self.request(id) else { return Try::Failed(Failure::WrongAnswer) };
        let response = match timeout(self.patience(), sender.send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_canceled() => return Try::Unsent,
            Ok(Err(_)) => return Try::Failed(self.cut()),
            Err(_) => return Try::Failed(self.silence()),
        };
        let status = response.status();
        let stamp = text(response.headers(), &SERVER_STAMP);
        self.crowd.stage.referee.borrow_mut().answered(id, status.as_u16(), stamp);
        if text(response.headers(), &REQUEST_ID).is_some_and(|answered| answered != id) {
            self.crowd.stage.referee.borrow_mut().found(Violation::ForeignBody { request: id.to_owned() });
            return Try::Failed(Failure::WrongAnswer);
        }
        if !status.is_success() {
            return self.failure(status, response).await;
        }
        if self.kind.stream.is_some() {
            self.read_stream(id, response.into_body()).await
        } else {
            self.read_lookup(id, response.into_body()).await
        }
    }

    async fn failure(&self, status: StatusCode, response: Response<Incoming>) -> Try {
        let retry_after = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        let retry_after = retry_after.and_then(|seconds| seconds.trim().parse::<f64>().ok()).unwrap_or(0.0);
        let retry_after = Duration::try_from_secs_f64(retry_after).unwrap_or_default();
        let body = timeout(self.patience(), response.into_body().collect()).await;
        let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes()).unwrap_or_default();
        let reason = String::from_utf8_lossy(&body).into_owned();
        let status = status.as_u16();
        if is_promise(status) {
            Try::Promised { status, retry_after, reason }
        } else {
            Try::Failed(Failure::Status(status))
        }
    }

    async fn read_stream(&mut self, request: &str, mut body: Incoming) -> Try {
        loop {
            let frame = match timeout(self.patience(), body.frame()).await {
                Err(_) => return Try::Failed(self.silence()),
                Ok(Some(Err(_))) => return Try::Failed(self.cut()),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return self.checked(request, self.reader.finish()),
            };
            let now = self.crowd.stage.now_ms();
            if let Some(piece) = frame.data_ref()
                && let Err(fault) = self.reader.push(now, piece)
            {
                return self.checked(request, Err(fault));
            }
        }
    }

    fn checked(&self, request: &str, result: Result<(), super::event_reader::StreamFault>) -> Try {
        let Err(fault) = result else { return Try::Served };
        let violation = Violation::BrokenStream { request: request.to_owned(), fault };
        self.crowd.stage.referee.borrow_mut().found(violation);
        Try::Failed(Failure::WrongAnswer)
    }

    async fn read_lookup(&mut self, request: &str, body: Incoming) -> Try {
        let body = match timeout(self.patience(), body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Try::Failed(self.cut()),
            Err(_) => return Try::Failed(self.silence()),
        };
        self.lookup_ms = self.crowd.stage.now_ms() - self.began_at;
        if body == lookup_answer(request, LOOKUP_ANSWER_BYTES) {
            return Try::Served;
        }
        let violation = Violation::ForeignBody { request: request.to_owned() };
        self.crowd.stage.referee.borrow_mut().found(violation);
        Try::Failed(Failure::WrongAnswer)
    }

    fn rules(&self) -> RequestRules {
        RequestRules {
            service: self.kind.service.to_owned(),
            repeatable: self.kind.is_repeatable(),
            most_upstreams: self.kind.most_upstreams,
            home_regions: self.kind.home_regions.clone(),
        }
    }

    fn request(&self, id: &str) -> Result<Request<Full<Bytes>>, http::Error> {
        let prefix = self.kind.prefix_of(self.crowd.stage.generation.get());
        let mut builder = Request::post(format!("{prefix}{id}"))
            .header(HOST_HEADER, HOST)
            .header(REQUEST_ID, id)
            .header(DEADLINE, self.left_ms());
        if self.kind.stream.is_some() {
            let prompt_tokens: u64 = self.draft.prompt.iter().map(|part| part.tokens).sum();
            let output_tokens = self.draft.events * EngineSettings::default().tokens_per_event;
            builder = builder
                .header(MODEL, MODEL_NAME)
                .header(TOKEN_COUNT, format!("{prompt_tokens},{output_tokens}"))
                .header(PREFIX_HASH, self.prefix_hash());
        }
        if self.reader.last_id() > 0 {
            builder = builder.header(LAST_EVENT_ID, self.reader.last_id());
        }
        builder.body(Full::new(request_body(id, self.kind.body_bytes)))
    }

    fn prefix_hash(&self) -> String {
        let parts = self.draft.prompt.iter().map(|part| format!("{:x}:{}", part.id, part.tokens));
        parts.collect::<Vec<_>>().join(",")
    }

    fn left_ms(&self) -> u64 {
        (self.began_at + self.kind.deadline_ms).saturating_sub(self.crowd.stage.now_ms())
    }

    /// How long the client waits for the next sign of life.
    fn patience(&self) -> Duration {
        let most = if self.kind.stream.is_some() { self.kind.most_silence_ms() } else { u64::MAX };
        Duration::from_millis(self.left_ms().min(most))
    }

    /// An upstream stops at the deadline, which it counts from when it got the request.
    fn cut(&self) -> Failure {
        if self.left_ms() < DEADLINE_SLACK_MS { Failure::Late } else { Failure::Cut }
    }

    fn silence(&self) -> Failure {
        if self.left_ms() == 0 { Failure::Late } else { Failure::Silent }
    }
}
