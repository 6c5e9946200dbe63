//! Schedules of faults, drawn by quickcheck and played against controllers, edge machines, upstreams and operators.

use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen};

use super::deployment::{Deployment, Direction, Reach};
use super::fleet::Command;
use super::rules::Rules;

/// How long it takes until all that is well again counts, and a lost disk has been made up for.
const CALM_MS: u64 = 6_000;
/// Once all faults have ended, every command has its outcome within this time.
const OUTCOME_MS: u64 = 10_000;
/// After this long every machine has the newest state.
const CONVERGED_MS: u64 = 8_000;
/// The longest pause of a process.
const FREEZE_MS: u64 = 20_000;
/// How long a fault waits for an acknowledgement.
const ACKNOWLEDGEMENT_MS: u64 = 3_000;
/// Between the signal to a controller and its end.
const LEAVING_MS: u64 = 400;
const MOST_STEPS: usize = 14;
const EDGES: u8 = 3;
const UPSTREAMS: u8 = 8;

/// What happens to the controller that has just confirmed something.
#[derive(Clone, Copy, Debug)]
pub enum TargetedFault {
    Kill,
    Wipe,
    Restart,
    Cut(Reach, Direction),
}

/// Something that happens. Machines are counted among those that there are at that time.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Stop(usize),
    Start(usize),
    Restart(usize),
    /// All controllers stop.
    StopAll,
    StartAll,
    Wipe(usize),
    /// All controllers stop, and one disk is lost.
    StopAllAndWipe(usize),
    /// One is taken out for good; another one comes at a new address.
    Replace(usize),
    /// One shuts down gracefully.
    Leave(usize),
    Freeze(usize, u64),
    Cut(usize, Reach, Direction),
    CutEdge(usize, usize, Direction),
    Heal,
    AfterAcknowledgement(TargetedFault),
    StopEdge(usize),
    StartEdge(usize),
    RestartEdge(usize),
    RestartAgent(usize),
    RestartProxy(usize),
    FreezeEdge(usize, u64),
    LeaveUpstream(usize, bool),
    /// The controllers are cut into two halves, which all clients reach.
    Halves(u64),
    /// Each controller is partitioned from all others; all clients reach all of them.
    Scatter,
    /// A disk is lost whatever else is lost already, but for other disks.
    WipeAmid(usize),
    /// All is well again for a while.
    Calm,
}

#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub wait_ms: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub controllers: u8,
    pub steps: Vec<Step>,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for Reach {
    fn arbitrary(g: &mut Gen) -> Self {
        [Reach::Peers, Reach::Clients, Reach::All, Reach::Near][below(g, 4) as usize]
    }
}

impl Arbitrary for Direction {
    fn arbitrary(g: &mut Gen) -> Self {
        [Direction::Both, Direction::Outward, Direction::Inward][below(g, 3) as usize]
    }
}

impl Arbitrary for TargetedFault {
    fn arbitrary(g: &mut Gen) -> Self {
        match below(g, 4) {
            0 => TargetedFault::Kill,
            1 => TargetedFault::Wipe,
            2 => TargetedFault::Restart,
            _ => TargetedFault::Cut(Reach::arbitrary(g), Direction::arbitrary(g)),
        }
    }
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let one = below(g, 6) as usize;
        let other = below(g, 6) as usize;
        let span = below(g, FREEZE_MS);
        match below(g, 34) {
            0 | 1 => Fault::Stop(one),
            2 | 3 => Fault::Start(one),
            4 => Fault::Restart(one),
            5 => Fault::StopAll,
            6 | 7 => Fault::StartAll,
            8 => Fault::Wipe(one),
            9 => Fault::StopAllAndWipe(one),
            10 => Fault::Replace(one),
            11 => Fault::Leave(one),
            12 | 13 => Fault::Freeze(one, span),
            14..18 => Fault::Cut(one, Reach::arbitrary(g), Direction::arbitrary(g)),
            18 => Fault::CutEdge(one, other, Direction::arbitrary(g)),
            19 | 20 => Fault::Heal,
            21..24 => Fault::AfterAcknowledgement(TargetedFault::arbitrary(g)),
            24 => Fault::StopEdge(one),
            25 => Fault::StartEdge(one),
            26 => Fault::RestartEdge(one),
            27 => Fault::RestartAgent(one),
            28 => Fault::RestartProxy(one),
            29 => Fault::FreezeEdge(one, span),
            30..32 => Fault::LeaveUpstream(other, bool::arbitrary(g)),
            _ => Fault::Calm,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let longest = [20, 500, 3_000, 10_000][below(g, 4) as usize];
        Step { wait_ms: below(g, longest), fault: Fault::arbitrary(g) }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + below(g, MOST_STEPS as u64);
        Schedule {
            seed: below(g, 1 << 40),
            controllers: [3, 5][below(g, 2) as usize],
            steps: (0..count).map(|_| Step::arbitrary(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let without = move |index: usize| {
            let mut shorter = schedule.clone();
            shorter.steps.remove(index);
            shorter
        };
        Box::new((0..self.steps.len()).rev().map(without))
    }
}

/// A schedule of halves and of losses that overlap: any number of controllers may be away at once, but no more disks are
/// lost than may be.
#[derive(Clone, Debug)]
pub struct Overlapping(pub Schedule);

impl Arbitrary for Overlapping {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut schedule = Schedule::arbitrary(g);
        for step in &mut schedule.steps {
            step.fault = overlapping(g).unwrap_or(step.fault);
        }
        Overlapping(schedule)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Overlapping))
    }
}

/// Half of the faults are drawn like those of other schedules.
fn overlapping(g: &mut Gen) -> Option<Fault> {
    let one = below(g, 6) as usize;
    Some(match below(g, 20) {
        0..3 => Fault::Halves(below(g, 1 << 6)),
        3 => Fault::Scatter,
        4..7 => Fault::WipeAmid(one),
        7 => Fault::Stop(one),
        8 => Fault::Start(one),
        9 => Fault::Heal,
        _ => return None,
    })
}

/// A schedule of machines that start without a configuration while controllers are partitioned from each other.
#[derive(Clone, Debug)]
pub struct Starting(pub Schedule);

impl Arbitrary for Starting {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut schedule = Schedule::arbitrary(g);
        for step in &mut schedule.steps {
            step.fault = starting(g);
        }
        Starting(schedule)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Starting))
    }
}

fn starting(g: &mut Gen) -> Fault {
    let one = below(g, 6) as usize;
    match below(g, 8) {
        0 => Fault::Cut(one, Reach::Peers, Direction::arbitrary(g)),
        1 => Fault::Freeze(one, below(g, FREEZE_MS)),
        2 => Fault::Restart(one),
        3 => Fault::Heal,
        _ => Fault::RestartEdge(one),
    }
}

struct Play<R: Rules> {
    deployment: Deployment<R>,
    next_address: u8,
    /// When the last pause will have ended.
    paused_until: u64,
}

/// Plays a schedule; how many confirmations there were, or what went wrong.
pub fn play<R: Rules>(schedule: &Schedule) -> Result<usize, String> {
    let deployment: Deployment<R> = Deployment::under(schedule.seed, schedule.controllers, EDGES, UPSTREAMS);
    let mut play = Play { deployment, next_address: 1 + schedule.controllers, paused_until: 0 };
    play.deployment.pass(CALM_MS);
    for step in &schedule.steps {
        play.deployment.pass(step.wait_ms);
        play.inject(step.fault);
        if !play.deployment.problems.is_empty() {
            break;
        }
    }
    play.end()
}

impl<R: Rules> Play<R> {
    fn controller(&self, number: usize) -> SocketAddr {
        let endpoints = self.deployment.fleet.cluster.endpoints();
        endpoints[number % endpoints.len()]
    }

    fn edge(&self, number: usize) -> usize {
        number % self.deployment.edges.len()
    }

    fn inject(&mut self, fault: Fault) {
        if let Fault::Freeze(_, span) | Fault::FreezeEdge(_, span) = fault {
            self.paused_until = self.paused_until.max(self.deployment.now() + span);
        }
        match fault {
            Fault::Stop(number) => self.deployment.stop_controller(self.controller(number)),
            Fault::Start(number) => self.deployment.start_controller(self.controller(number)),
            Fault::Restart(number) => self.restart(self.controller(number)),
            Fault::StopAll => self.stop_all(),
            Fault::StartAll => self.start_all(),
            Fault::Wipe(number) => {
                self.calm();
                self.deployment.wipe_controller(self.controller(number));
            }
            Fault::StopAllAndWipe(number) => {
                self.calm();
                self.stop_all();
                self.deployment.wipe_controller(self.controller(number));
            }
            Fault::Replace(number) => self.replace(number),
            Fault::Leave(number) => self.leave(self.controller(number)),
            Fault::Freeze(number, span) => self.deployment.freeze_controller(self.controller(number), span),
            Fault::Cut(number, reach, direction) => {
                self.deployment.partition_controller(self.controller(number), reach, direction);
            }
            Fault::CutEdge(edge, number, direction) => {
                self.deployment.partition_edge(self.edge(edge), self.controller(number), direction);
            }
            Fault::Heal => self.deployment.heal_all(),
            Fault::AfterAcknowledgement(fault) => self.inject_after_acknowledgement(fault),
            Fault::StopEdge(edge) => self.deployment.stop_edge(self.edge(edge)),
            Fault::StartEdge(edge) => self.deployment.start_edge(self.edge(edge)),
            Fault::RestartEdge(edge) => self.deployment.restart_edge(self.edge(edge)),
            Fault::RestartAgent(edge) => self.deployment.restart_agent(self.edge(edge)),
            Fault::RestartProxy(edge) => self.deployment.restart_proxy(self.edge(edge)),
            Fault::FreezeEdge(edge, span) => self.deployment.freeze_edge(self.edge(edge), span),
            Fault::LeaveUpstream(upstream, says_draining) => self.deployment.leave(upstream, says_draining),
            Fault::Halves(half) => self.deployment.halve_controllers(half),
            Fault::Scatter => self.deployment.scatter_controllers(),
            Fault::WipeAmid(number) => self.wipe_amid(self.controller(number)),
            Fault::Calm => self.calm(),
        }
    }

    fn inject_after_acknowledgement(&mut self, fault: TargetedFault) {
        if matches!(fault, TargetedFault::Wipe) {
            self.calm();
        }
        self.deployment.acknowledged_by = None;
        self.deployment.pass_until_acknowledgement(ACKNOWLEDGEMENT_MS);
        let Some(at) = self.deployment.acknowledged_by else { return };
        match fault {
            TargetedFault::Kill => self.deployment.stop_controller(at),
            TargetedFault::Wipe => self.deployment.wipe_controller(at),
            TargetedFault::Restart => self.restart(at),
            TargetedFault::Cut(reach, direction) => {
                self.deployment.partition_controller(at, reach, direction)
            }
        }
    }

    fn restart(&mut self, at: SocketAddr) {
        self.deployment.stop_controller(at);
        self.deployment.start_controller(at);
    }

    /// No more than one disk is lost before all is well again.
    fn wipe_amid(&mut self, at: SocketAddr) {
        if !self.deployment.disks_lost.is_empty() {
            self.calm();
        }
        self.deployment.wipe_controller(at);
    }

    fn leave(&mut self, at: SocketAddr) {
        self.deployment.fleet.cluster.command(at, Command::Shutdown);
        self.deployment.pass(LEAVING_MS);
        self.deployment.stop_controller(at);
    }

    fn replace(&mut self, number: usize) {
        let at = self.controller(number);
        self.calm();
        self.deployment.replace_controller(at, self.next_address);
        self.next_address += 1;
    }

    fn stop_all(&mut self) {
        for at in self.deployment.fleet.cluster.endpoints() {
            self.deployment.stop_controller(at);
        }
    }

    fn start_all(&mut self) {
        for at in self.deployment.fleet.cluster.endpoints() {
            self.deployment.start_controller(at);
        }
    }

    /// All is well, and stays so for a while.
    fn calm(&mut self) {
        let rest = self.paused_until.saturating_sub(self.deployment.now());
        self.deployment.pass(rest);
        self.deployment.heal_all();
        self.start_all();
        for edge in 0..self.deployment.edges.len() {
            if !self.deployment.edges[edge].is_running() {
                self.deployment.start_edge(edge);
            }
        }
        self.deployment.pass(CALM_MS);
        self.deployment.disks_lost.clear();
    }

    fn end(mut self) -> Result<usize, String> {
        if self.deployment.problems.is_empty() {
            self.calm();
            self.deployment.finish_commands(OUTCOME_MS);
            self.deployment.pass(CONVERGED_MS);
            self.deployment.check_convergence();
        }
        match self.deployment.problems.first() {
            None => Ok(self.deployment.acknowledgements),
            Some(problem) => Err(problem.clone()),
        }
    }
}
