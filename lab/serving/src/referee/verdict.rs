//! The rules, and the ways to break them.

use std::collections::{HashMap, HashSet};

use snafu::Snafu;

use super::observation::{RequestRules, UpstreamPlace};
use super::windows::{SlidingCount, count_between};
use crate::traffic::StreamFault;

/// Bounds of the rules.
const DRAIN_MS: u64 = 2_500;
const COLD_OVERRUN: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_WINDOW_MS: u64 = 1_000;
const RETRY_WINDOW_MS: u64 = 10_000;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 52.0;
/// So many requests may go to more upstreams than their routes allow.
const UPSTREAMS_SLACK: usize = 3;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum Violation {
    #[snafu(display("request {request} may run once and ran {runs} times"))]
    RanTwice { request: String, runs: usize },
    #[snafu(display("request {request} was refused with {status}, but it ran"))]
    RefusedButRan { request: String, status: u16 },
    #[snafu(display("an upstream got request {request}, which no client sent"))]
    NeverSent { request: String },
    #[snafu(display("request {request} reached an upstream changed"))]
    Changed { request: String },
    #[snafu(display("request {request} for `{expected}` reached an upstream of `{service}`"))]
    WrongService { request: String, expected: String, service: String },
    #[snafu(display("request {request} reached region `{region}`, which is no home of it"))]
    NotAHome { request: String, region: String },
    #[snafu(display(
        "request {request} reached {instance} {late_ms} ms after its draining was acknowledged"
    ))]
    AfterDrain { request: String, instance: String, late_ms: u64 },
    #[snafu(display("cold upstream {instance} got {count} requests in a second"))]
    TooManyWhileCold { instance: String, count: usize },
    #[snafu(display("{repeats} repeats at `{service}` in one window, with {requests} requests"))]
    TooManyRepeats { service: String, repeats: usize, requests: usize },
    #[snafu(display("{requests} requests ran on more upstreams than their routes allow"))]
    TooManyUpstreams { requests: usize },
    #[snafu(display("request {request} was answered with {status} and a stamp that is not its own"))]
    ForeignAnswer { request: String, status: u16 },
    #[snafu(display("request {request} was answered with {status} though its route is in force"))]
    Denied { request: String, status: u16 },
    #[snafu(display("request {request} got a success with a body that is not the upstream's"))]
    ForeignBody { request: String },
    #[snafu(display("the stream of request {request}: {fault}"))]
    BrokenStream { request: String, fault: StreamFault },
    #[snafu(display(
        "generation {acknowledged} was acknowledged, {found:?} is what is read back from {from}"
    ))]
    ConfigurationLost { acknowledged: u64, found: Option<u64>, from: String },
    #[snafu(display("generation {generation} differs from what was sent when read back from {from}"))]
    ConfigurationChanged { generation: u64, from: String },
    #[snafu(display("nobody acknowledged that {instance} drains"))]
    DrainNotAcknowledged { instance: String },
    #[snafu(display("{process} ended by itself: {log}"))]
    ProcessEnded { process: String, log: String },
}

/// All that is known of one request, by its id.
#[derive(Debug)]
struct RequestRecord {
    rules: RequestRules,
    arrivals: usize,
    runs: Vec<String>,
    stamps: Vec<String>,
    refused: Option<u16>,
}

/// A cold upstream.
#[derive(Debug)]
struct ColdRecord {
    until: u64,
    bound: usize,
    arrivals: SlidingCount,
    reported: bool,
}

/// Arrivals at a service.
#[derive(Debug, Default)]
struct ServiceRecord {
    sent: Vec<u64>,
    repeats: Vec<u64>,
}

/// Collects what was seen. Times are milliseconds of one steady clock, and rise.
#[derive(Debug, Default)]
pub struct Referee {
    requests: HashMap<String, RequestRecord>,
    drained: HashMap<String, u64>,
    cold: HashMap<String, ColdRecord>,
    services: HashMap<String, ServiceRecord>,
    violations: Vec<Violation>,
}

impl Referee {
    /// A client sends a try.
    pub fn sent(&mut self, now: u64, request: &str, rules: RequestRules) {
        self.services.entry(rules.service.clone()).or_default().sent.push(now);
        let record =
            RequestRecord { rules, arrivals: 0, runs: Vec::new(), stamps: Vec::new(), refused: None };
        self.requests.insert(request.to_owned(), record);
    }

    /// A request reaches an upstream that does not answer 421.
    pub fn arrived(&mut self, now: u64, request: &str, upstream: &UpstreamPlace) {
        self.check_drained(now, request, upstream);
        self.check_cold(now, upstream);
        let Some(record) = self.requests.get_mut(request) else {
            self.violations.push(Violation::NeverSent { request: request.to_owned() });
            return;
        };
        record.arrivals += 1;
        if record.arrivals > 1 {
            self.services.entry(upstream.service.clone()).or_default().repeats.push(now);
        }
        if record.rules.service != upstream.service {
            let (expected, service) = (record.rules.service.clone(), upstream.service.clone());
            self.violations.push(Violation::WrongService { request: request.to_owned(), expected, service });
        }
        let homes = &record.rules.home_regions;
        if !homes.is_empty() && !homes.contains(&upstream.region) {
            let region = upstream.region.clone();
            self.violations.push(Violation::NotAHome { request: request.to_owned(), region });
        }
    }

    /// An upstream begins to work on a request.
    pub fn ran(&mut self, request: &str, instance: &str) {
        let Some(record) = self.requests.get_mut(request) else { return };
        record.runs.push(instance.to_owned());
        if !record.rules.repeatable && record.runs.len() > 1 {
            let runs = record.runs.len();
            self.violations.push(Violation::RanTwice { request: request.to_owned(), runs });
        }
        self.check_refused(request);
    }

    /// An upstream stamps its answer to a request.
    pub fn stamped(&mut self, request: &str, stamp: &str) {
        if let Some(record) = self.requests.get_mut(request) {
            record.stamps.push(stamp.to_owned());
        }
    }

    /// The head of an answer reaches the client.
    pub fn answered(&mut self, request: &str, status: u16, stamp: Option<&str>) {
        let Some(record) = self.requests.get_mut(request) else { return };
        let success = (200..300).contains(&status);
        let own = stamp.is_some_and(|stamp| record.stamps.iter().any(|known| known == stamp));
        if (success || stamp.is_some()) && !own {
            self.violations.push(Violation::ForeignAnswer { request: request.to_owned(), status });
        }
        if (300..500).contains(&status) && stamp.is_none() && !is_promise(status) {
            self.violations.push(Violation::Denied { request: request.to_owned(), status });
        }
        if is_promise(status) {
            record.refused = Some(status);
            self.check_refused(request);
        }
    }

    /// A fault that a client or an upstream has found by itself.
    pub fn found(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// The system acknowledged that an instance drains or is gone.
    pub fn drain_acknowledged(&mut self, now: u64, instance: &str) {
        self.drained.entry(instance.to_owned()).or_insert(now);
    }

    /// An instance is cold for some time.
    pub fn turned_cold(&mut self, now: u64, instance: &str, for_ms: u64, requests_per_s: f64) {
        let bound = (requests_per_s * COLD_OVERRUN + COLD_SLACK) as usize;
        let arrivals = SlidingCount::new(COLD_WINDOW_MS);
        let record = ColdRecord { until: now + for_ms, bound, arrivals, reported: false };
        self.cold.insert(instance.to_owned(), record);
    }

    /// The broken rules, once the run is over.
    pub fn finish(mut self) -> Vec<Violation> {
        self.check_repeats();
        self.check_upstreams();
        self.violations
    }

    fn check_drained(&mut self, now: u64, request: &str, upstream: &UpstreamPlace) {
        let Some(&acknowledged) = self.drained.get(&upstream.instance) else { return };
        let late_ms = now.saturating_sub(acknowledged);
        if late_ms > DRAIN_MS {
            let (request, instance) = (request.to_owned(), upstream.instance.clone());
            self.violations.push(Violation::AfterDrain { request, instance, late_ms });
        }
    }

    fn check_cold(&mut self, now: u64, upstream: &UpstreamPlace) {
        let Some(cold) = self.cold.get_mut(&upstream.instance).filter(|cold| now < cold.until) else {
            return;
        };
        let count = cold.arrivals.add(now);
        if count > cold.bound && !cold.reported {
            cold.reported = true;
            let instance = upstream.instance.clone();
            self.violations.push(Violation::TooManyWhileCold { instance, count });
        }
    }

    fn check_refused(&mut self, request: &str) {
        let Some(record) = self.requests.get(request) else { return };
        if let (Some(status), false, false) =
            (record.refused, record.rules.repeatable, record.runs.is_empty())
        {
            self.violations.push(Violation::RefusedButRan { request: request.to_owned(), status });
        }
    }

    /// Repeats of each window against the requests of that window, of the one before and of the one half a window
    /// earlier.
    fn check_repeats(&mut self) {
        for (service, record) in &self.services {
            let excess = |&now: &u64| {
                let requests = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS]
                    .map(|back| now.checked_sub(back).map_or(0, |end| count_window(&record.sent, end)))
                    .into_iter()
                    .max()
                    .unwrap_or(0);
                let repeats = count_window(&record.repeats, now);
                let bound = requests as f64 * RETRY_RATIO + RETRY_SLACK;
                (repeats as f64 > bound).then_some((repeats, requests))
            };
            if let Some((repeats, requests)) = record.repeats.iter().find_map(excess) {
                let service = service.clone();
                self.violations.push(Violation::TooManyRepeats { service, repeats, requests });
            }
        }
    }

    fn check_upstreams(&mut self) {
        let upstreams = |record: &RequestRecord| record.runs.iter().collect::<HashSet<_>>().len();
        let requests = self
            .requests
            .values()
            .filter(|record| upstreams(record) > record.rules.most_upstreams.max(1))
            .count();
        if requests > UPSTREAMS_SLACK {
            self.violations.push(Violation::TooManyUpstreams { requests });
        }
    }
}

fn count_window(times: &[u64], end: u64) -> usize {
    count_between(times, end.checked_sub(RETRY_WINDOW_MS), end)
}

/// Statuses that promise that the request has not run and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
