//! A whole run: start, use, disturb, judge, end.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::command_line::ClusterOptions;
use crate::control_client::{Call, call_one};
use crate::deployment::{Deployment, Machine};
use crate::operator::{COLD_S, Operator, OrderError};
use crate::processes::{ProcessError, Processes};
use crate::random::Random;
use crate::referee::Violation;
use crate::schedule::{Event, Scheduled, schedule};
use crate::stage::Stage;
use crate::table::Report;
use crate::tally::Tally;
use crate::traffic::{Crowd, LOOKUP_SERVICE, MODEL_SERVICE, RequestKind, kinds};
use crate::upstream::{ListenError, RunningUpstream, Upstream, UpstreamSpec};

/// The least numbers of model upstreams, so that some are left when one is killed and one drains.
const MODEL_UPSTREAMS: usize = 4;
const MODEL_UPSTREAMS_PER_REGION: usize = 2;
/// Holds the tries of clients that were not served.
const FAILED_TRIES_FILE: &str = "failed-tries.txt";
/// How long the first configuration may take.
const FIRST_ORDER_TIME: Duration = Duration::from_secs(20);
const ORDER_TIME: Duration = Duration::from_secs(10);
/// How long the balancers may take to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(100);
/// The longest that a run may take beyond the time of its traffic.
const SLACK: Duration = Duration::from_secs(90);
const FIRST_GENERATION: u64 = 1;

/// Why a run could not be made.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    #[snafu(display("no program at {}; `--program` names it", path.display()))]
    NoProgram { path: PathBuf },
    #[snafu(display("{}: {source}", path.display()))]
    Folder { path: PathBuf, source: io::Error },
    #[snafu(display("no runtime: {source}"))]
    Runtime { source: io::Error },
    #[snafu(transparent)]
    Process { source: ProcessError },
    #[snafu(transparent)]
    Listen { source: ListenError },
    #[snafu(transparent)]
    Order { source: OrderError },
    #[snafu(display("not ready in time: {}", names.join(", ")))]
    NotReady { names: Vec<String> },
    #[snafu(display("the run took too long"))]
    TooLong,
    #[snafu(display("interrupted"))]
    Interrupted,
}

/// Runs a cluster and prints its report; the status tells whether all went well.
pub fn main(options: &ClusterOptions) -> ExitCode {
    match run(options) {
        Ok(report) => {
            print!("{}", report.text());
            if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("whinspindle-lab-serving: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &ClusterOptions) -> Result<Report, ClusterError> {
    if !options.program.is_file() {
        return NoProgramSnafu { path: &options.program }.fail();
    }
    let folder = Folder::create()?;
    println!("settings and logs: {}", folder.path.display());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, play_all(options, &folder.path));
    if let Ok(report) = &result {
        folder.write_failed_tries(report)?;
    }
    if options.keep || result.is_err() {
        println!("kept: {}", folder.path.display());
    } else {
        folder.remove();
    }
    result
}

/// Starts the programs, plays within the time, and ends the programs whatever came of it.
async fn play_all(options: &ClusterOptions, folder: &Path) -> Result<Report, ClusterError> {
    let mut random = Random::new(options.seed ^ u64::from(std::process::id()));
    let deployment = Deployment::new(options.regions, options.edges, &mut random);
    let mut processes = Processes::start(options, folder, &deployment)?;
    let limit = Duration::from_secs(options.seconds) + SLACK;
    let result = select! {
        result = play(options, deployment, &mut processes) => result,
        () = sleep(limit) => TooLongSnafu.fail(),
        () = interrupted() => InterruptedSnafu.fail(),
    };
    for name in processes.end_all().await {
        eprintln!("{name} did not end after SIGTERM");
    }
    result
}

async fn play(
    options: &ClusterOptions,
    deployment: Deployment,
    processes: &mut Processes,
) -> Result<Report, ClusterError> {
    let kinds = kinds(&deployment.regions());
    let stage = Rc::new(Stage::new(Tally::new(kinds.iter().map(|kind| kind.name.to_owned()))));
    let mut cluster = Cluster::start(options, deployment, kinds, &stage).await?;
    cluster.operator.replace(&cluster.kinds, FIRST_ORDER_TIME).await?;
    println!("configuration taken after {} ms", stage.now_ms());
    wait_until_ready(&cluster.deployment.edges).await?;
    println!("{} balancers ready after {} ms", cluster.deployment.edges.len(), stage.now_ms());
    stage.generation.set(FIRST_GENERATION);
    let mut crowds = cluster.start_traffic(options);
    cluster.follow_schedule(schedule(options.seconds * 1_000), processes).await?;
    while crowds.join_next().await.is_some() {}
    cluster.operator.read_back().await;
    cluster.report_draining();
    let mut referee = stage.referee.take();
    for ended in processes.ended() {
        referee.found(Violation::ProcessEnded { process: ended.name, log: ended.log });
    }
    let prompt_tokens = stage.ledger.borrow().tokens();
    let usage = processes.usage();
    Ok(Report { usage, tally: stage.tally.borrow().clone(), prompt_tokens, violations: referee.finish() })
}

/// The parts that the lab plays itself.
struct Cluster {
    deployment: Deployment,
    kinds: Vec<RequestKind>,
    stage: Rc<Stage>,
    operator: Operator,
    upstreams: Vec<RunningUpstream>,
    leaving: JoinSet<()>,
    drained: Vec<Rc<Upstream>>,
    /// The controller that is killed; another one with each seed.
    victim: usize,
    started_upstreams: usize,
    /// The upstream that was killed and comes back.
    killed: Option<UpstreamSpec>,
}

impl Cluster {
    async fn start(
        options: &ClusterOptions,
        deployment: Deployment,
        kinds: Vec<RequestKind>,
        stage: &Rc<Stage>,
    ) -> Result<Self, ClusterError> {
        let controllers = deployment.controllers.len() as u64;
        let operator = Operator::new(stage.clone(), deployment.control_addresses());
        let mut cluster = Cluster {
            deployment,
            kinds,
            stage: stage.clone(),
            operator,
            upstreams: Vec::new(),
            leaving: JoinSet::new(),
            drained: Vec::new(),
            victim: (options.seed % controllers) as usize,
            started_upstreams: 0,
            killed: None,
        };
        for region in 0..options.regions {
            for _ in 0..MODEL_UPSTREAMS.div_ceil(options.regions).max(MODEL_UPSTREAMS_PER_REGION) {
                cluster.add_upstream(region, MODEL_SERVICE).await?;
            }
            cluster.add_upstream(region, LOOKUP_SERVICE).await?;
        }
        Ok(cluster)
    }

    async fn add_upstream(&mut self, region: usize, service: &'static str) -> Result<(), ClusterError> {
        let address = self.deployment.plan_upstream(region);
        let place = self.deployment.places[region].clone();
        let spec = UpstreamSpec { instance: String::new(), service, address, place, cold_ms: 0 };
        self.start_upstream(spec).await
    }

    /// Starts an incarnation under a new id.
    async fn start_upstream(&mut self, mut spec: UpstreamSpec) -> Result<(), ClusterError> {
        self.started_upstreams += 1;
        spec.instance = format!("i-{:08x}", Random::new(self.started_upstreams as u64).bits() >> 32);
        let contacts = self.deployment.control_addresses();
        let upstream = RunningUpstream::start(spec, &self.stage, &contacts, self.started_upstreams).await?;
        self.upstreams.push(upstream);
        Ok(())
    }

    fn start_traffic(&self, options: &ClusterOptions) -> JoinSet<()> {
        let per_s = options.requests_per_s / self.deployment.places.len() as f64;
        let length = Duration::from_secs(options.seconds);
        let mut crowds = JoinSet::new();
        for (index, place) in self.deployment.places.iter().enumerate() {
            let mut near_first = self.deployment.controllers.clone();
            near_first.sort_by_key(|controller| controller.place != *place);
            let directories = near_first.iter().map(Machine::directory).collect();
            let seed = options.seed.wrapping_mul(1_000).wrapping_add(index as u64);
            let crowd = Crowd::new(self.stage.clone(), place.clone(), directories, self.kinds.clone(), seed);
            crowds.spawn_local(crowd.run(per_s, length));
        }
        crowds
    }

    async fn follow_schedule(
        &mut self,
        events: Vec<Scheduled>,
        processes: &mut Processes,
    ) -> Result<(), ClusterError> {
        let start = Instant::now();
        for Scheduled { at_ms, event } in events {
            sleep_until(start + Duration::from_millis(at_ms)).await;
            println!("{:>6} ms  {event:?}", start.elapsed().as_millis());
            self.carry_out(event, processes).await?;
        }
        Ok(())
    }

    async fn carry_out(&mut self, event: Event, processes: &mut Processes) -> Result<(), ClusterError> {
        match event {
            Event::KillUpstream => {
                let killed = self.take_model_upstream(0);
                self.killed = killed.map(|running| running.upstream.spec.clone());
            }
            Event::ReturnUpstream => {
                if let Some(mut spec) = self.killed.take() {
                    spec.cold_ms = (COLD_S * 1_000.0) as u64;
                    self.start_upstream(spec).await?;
                }
            }
            Event::DrainUpstream => {
                let region = self.deployment.places.len().min(2) - 1;
                if let Some(leaving) = self.take_model_upstream(region) {
                    leaving.upstream.start_draining();
                    self.drained.push(leaving.upstream.clone());
                    self.leaving.spawn_local(leaving.left());
                }
            }
            Event::KillController => processes.kill_controller(self.victim),
            Event::RestartController => processes.restart_controller(self.victim)?,
            Event::StopEdge => processes.stop_edge(0),
            Event::StartEdge => processes.start_edge(0).await?,
            Event::ReplaceConfiguration => {
                let sent_at = Instant::now();
                let generation = self.operator.replace(&self.kinds, ORDER_TIME).await?;
                let taken_ms = sent_at.elapsed().as_millis();
                println!("           generation {generation} acknowledged after {taken_ms} ms");
            }
        }
        Ok(())
    }

    fn report_draining(&self) {
        for upstream in &self.drained {
            let instance = upstream.spec.instance.clone();
            match upstream.drain_acknowledged_after_ms() {
                Some(after_ms) => println!("draining of {instance} acknowledged after {after_ms} ms"),
                None => self.stage.referee.borrow_mut().found(Violation::DrainNotAcknowledged { instance }),
            }
        }
    }

    /// Takes a model upstream of a region out of the list.
    fn take_model_upstream(&mut self, region: usize) -> Option<RunningUpstream> {
        let place = &self.deployment.places[region];
        let found = self.upstreams.iter().position(|running| {
            let spec = &running.upstream.spec;
            spec.service == MODEL_SERVICE && spec.place == *place
        });
        found.map(|index| self.upstreams.remove(index))
    }
}

/// Waits until all balancers say that they are ready.
async fn wait_until_ready(edges: &[Machine]) -> Result<(), ClusterError> {
    let deadline = Instant::now() + READY_TIME;
    loop {
        let mut names = Vec::new();
        for edge in edges {
            let answer = call_one(edge.ready(), &Call::get("/readyz")).await;
            if !answer.is_ok_and(|answer| answer.status.is_success()) {
                names.push(edge.name.clone());
            }
        }
        if names.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return NotReadySnafu { names }.fail();
        }
        sleep(READY_PAUSE).await;
    }
}

/// Waits for ctrl-C or SIGTERM.
async fn interrupted() {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// A new folder for settings, logs and the controllers' disks.
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn create() -> Result<Self, ClusterError> {
        let path = std::env::temp_dir().join(format!("whinspindle-cluster-{}", std::process::id()));
        std::fs::create_dir_all(&path).context(FolderSnafu { path: &path })?;
        Ok(Folder { path })
    }

    fn write_failed_tries(&self, report: &Report) -> Result<(), ClusterError> {
        let path = self.path.join(FAILED_TRIES_FILE);
        let lines = report.tally.failed_tries.iter().map(|failed| format!("{failed}\n"));
        std::fs::write(&path, lines.collect::<String>()).context(FolderSnafu { path: &path })
    }

    fn remove(self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
