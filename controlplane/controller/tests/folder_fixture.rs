//! Compatibility with the data folder of an earlier release: it is recovered with the same meaning, and the
//! same calls write the same bytes.

mod common;
#[path = "../../../coordination/replica/tests/fixtures/mod.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

use bytes::Bytes;
use common::{
    START, TICK_MS, configuration, deregister, evacuate, heartbeat, redirected_call, replace, report, zones,
};
use whinspindle_configuration::InstanceState;
use whinspindle_controller::api::{Call, Response};
use whinspindle_controller::commands::records::{self, EvacuatedZones};
use whinspindle_controller::commands::{CommandApplication, Departure};
use whinspindle_controller::{Action, CallId, Controller, ControllerSettings, Event};
use whinspindle_distribution::{
    ControllerAddress, Gossip, GossipInstance, GossipLease, GossipScope, SubscriberId, decode_gossip,
    encode_gossip,
};
use whinspindle_replica::{
    ChainLink, DurableWrite, Member, Replica, ReplicaSettings, Timing, Tolerance, Voter,
};
use whinspindle_storage::{Directory, DirectoryError, FolderDirectory, Journal, RecoveredState};

/// The files of both journals.
const FILES: [&str; 8] =
    ["slot-a", "slot-b", "log-a", "log-b", "memory-slot-a", "memory-slot-b", "memory-log-a", "memory-log-b"];
/// The prefix of the files that hold the saved state.
const SAVED_STATE_PREFIX: &str = "memory-";
/// The start id of the process that wrote the folder, and that of the process that reads it.
const FIRST_START: u64 = 2;
const SECOND_START: u64 = 3;
/// The pause of the operator before an evacuation command.
const OPERATOR_PAUSE_MS: u64 = 100;
/// A call is answered within this time.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// A folder that is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        TemporaryFolder(env::temp_dir().join(format!("whinspindle-controller-{name}-{}", process::id())))
    }

    /// A folder with the files of the fixture.
    fn of_fixture(name: &str) -> Self {
        let folder = TemporaryFolder::new(name);
        fs::create_dir_all(&folder.0).expect("the folder can be made");
        for file in FILES {
            fs::copy(fixtures::path(&format!("folder/{file}")), folder.0.join(file)).expect(file);
        }
        folder
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The files of a folder whose names start with a prefix. The controller process shares one folder between
/// two journals in this way.
struct PrefixedFolder {
    folder: FolderDirectory,
    prefix: &'static str,
}

impl PrefixedFolder {
    fn open(path: &Path, prefix: &'static str) -> PrefixedFolder {
        PrefixedFolder { folder: FolderDirectory::open(path).expect("the folder can be used"), prefix }
    }

    fn name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}

impl Directory for PrefixedFolder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError> {
        self.folder.read(&self.name(name))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError> {
        self.folder.write_at(&self.name(name), offset, bytes)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError> {
        self.folder.set_length(&self.name(name), length)
    }

    fn sync(&mut self, name: &str) -> Result<(), DirectoryError> {
        self.folder.sync(&self.name(name))
    }

    fn sync_directory(&mut self) -> Result<(), DirectoryError> {
        self.folder.sync_directory()
    }
}

/// Opens the journal of the replicated state (no prefix) or that of the saved state.
fn open(path: &Path, prefix: &'static str) -> (Journal<PrefixedFolder>, RecoveredState) {
    Journal::open(PrefixedFolder::open(path, prefix)).expect("the journal can be read")
}

fn endpoint() -> SocketAddr {
    "10.0.0.1:7700".parse().unwrap()
}

/// Starts a replica that is its own quorum. Each start of the process needs a new start id.
fn start_replica(
    recovered: RecoveredState,
    start_id: u64,
) -> (Replica<CommandApplication>, Vec<whinspindle_replica::Output>) {
    let settings = ReplicaSettings {
        endpoint: endpoint(),
        zone: "zone-a".to_owned(),
        region: "north".to_owned(),
        seeds: vec![endpoint()],
        bootstrap: true,
        incarnation: 0x0102_0304_0506_0708,
        start_id,
        tolerance: Tolerance::machines_only(0),
        timing: Timing::default(),
    };
    let stored = (recovered.checkpoint, recovered.log);
    Replica::new(settings, CommandApplication, stored, START).expect("the state can be read")
}

fn start_controller(recovered: RecoveredState, start: u64) -> (Controller, Vec<Action>) {
    let (replica, outputs) = start_replica(recovered, start);
    let address =
        ControllerAddress { endpoint: endpoint(), zone: "zone-a".to_owned(), region: "north".to_owned() };
    let settings = ControllerSettings {
        node: "core-1".to_owned(),
        address,
        zones: zones(),
        heartbeat_ms: common::HEARTBEAT_MS,
    };
    Controller::new(settings, replica, outputs, START)
}

/// A controller with a journal in a folder; each write is durable at once.
struct FolderController {
    controller: Controller,
    journal: Journal<PrefixedFolder>,
    now: u64,
    /// The next write fails, after which the replica requests a checkpoint.
    next_write_fails: bool,
    saved_states: Vec<Vec<u8>>,
    answers: Vec<Response>,
}

impl FolderController {
    fn start(path: &Path, start: u64) -> FolderController {
        let (journal, recovered) = open(path, "");
        let (controller, actions) = start_controller(recovered, start);
        let (saved_states, answers) = (Vec::new(), Vec::new());
        let mut started = FolderController {
            controller,
            journal,
            now: START,
            next_write_fails: false,
            saved_states,
            answers,
        };
        started.perform(actions);
        started
    }

    fn handle(&mut self, event: Event) {
        let actions = self.controller.handle(self.now, event);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist { token, .. } if std::mem::take(&mut self.next_write_fails) => {
                    self.handle(Event::PersistFailed { token });
                }
                Action::Persist { token, write } => {
                    match write {
                        DurableWrite::Append(records) => self.journal.append(&records),
                        DurableWrite::Checkpoint(state) => self.journal.checkpoint(&state),
                    }
                    .expect("the folder can be written");
                    let log_bytes = self.journal.log_bytes();
                    self.handle(Event::Persisted { token, log_bytes });
                }
                Action::Compact { state } => {
                    self.journal.checkpoint(&state).expect("the folder can be written");
                    self.handle(Event::Compacted);
                }
                Action::SaveState { state } => {
                    self.saved_states.push(state);
                    self.handle(Event::StateSaved);
                }
                Action::Answer { response, .. } => self.answers.push(response),
                Action::SendBalancer { .. } | Action::SendPeer { .. } => {}
            }
        }
    }

    fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now += TICK_MS;
            self.handle(Event::Tick);
        }
    }

    /// Sends an evacuation command a while after the previous call, and confirms it if redirected.
    fn evacuate(&mut self, zone: &str, evacuated: bool) {
        self.pass(OPERATOR_PAUSE_MS);
        let response = self.respond(evacuate(zone, evacuated));
        let response = redirected_call(&response).map_or(response, |confirmed| self.respond(confirmed));
        assert!(response.status.is_success(), "{response:?}");
    }

    /// Sends a call and waits for its successful response.
    fn call(&mut self, call: Call) {
        let response = self.respond(call);
        assert!(response.status.is_success(), "{response:?}");
    }

    /// Sends a call and waits for its response.
    fn respond(&mut self, call: Call) -> Response {
        let id = CallId(self.answers.len() as u64 + 1);
        self.handle(Event::Call { id, call });
        let end = self.now + CALL_TIMEOUT_MS;
        while self.answers.len() < id.0 as usize && self.now < end {
            self.pass(TICK_MS);
        }
        assert_eq!(self.answers.len() as u64, id.0, "the call gets one response");
        self.answers[self.answers.len() - 1].clone()
    }
}

/// Writes the folder of a controller that applied commands before and after a checkpoint, and received
/// heartbeats of instances and the report of a balancer.
fn write_folder(path: &Path) {
    let mut controller = FolderController::start(path, FIRST_START);
    controller.pass(5_000);
    controller.call(replace(0, 3));
    controller.evacuate("zone-b", true);
    controller.evacuate("zone-c", true);
    controller.call(deregister("desk-9"));
    controller.next_write_fails = true;
    controller.call(replace(3, 7));
    controller.evacuate("zone-c", false);
    controller.call(heartbeat("desk-1", 5, InstanceState::Ready));
    controller.pass(200);
    controller.call(heartbeat("desk-2", 6, InstanceState::Draining));
    controller.pass(150);
    controller.handle(Event::Report { subscriber: SubscriberId(1), report: report(1, "zone-a") });
    controller.pass(2_000);
    let saved_states = std::mem::take(&mut controller.saved_states);
    drop(controller);
    assert!(saved_states.len() > 1, "both slots of the saved state are written");
    let (mut journal, _) = open(path, SAVED_STATE_PREFIX);
    for state in saved_states {
        journal.checkpoint(&state).expect("the folder can be written");
    }
}

#[test]
fn same_calls_write_the_same_folder() {
    let folder = TemporaryFolder::new("written");
    write_folder(&folder.0);
    for file in FILES {
        let present = fs::read(folder.0.join(file)).expect(file);
        let stored = fixtures::read(&format!("folder/{file}"), &present);
        assert_eq!(present, stored, "{file}");
    }
}

/// The keys, sequence numbers and values of all committed records.
fn committed_records_of(replica: &Replica<CommandApplication>) -> Vec<(String, u64, Vec<u8>)> {
    let records = replica.committed_records().iter();
    records.map(|(key, record)| (key.clone(), record.sequence, record.value.to_vec())).collect()
}

#[test]
fn replicated_state_is_recovered() {
    let folder = TemporaryFolder::of_fixture("state");
    let (_, recovered) = open(&folder.0, "");
    assert!(recovered.checkpoint.is_some(), "a slot has the checkpoint");
    assert!(!recovered.log.is_empty(), "the log has the commands after the checkpoint");
    let (replica, _) = start_replica(recovered, SECOND_START);
    let digest = |generation| blake3::hash(&configuration(generation)).as_bytes().to_vec();
    let expected = [
        ("configuration", 5, configuration(7).to_vec()),
        ("drained/desk-2", 7, b"draining".to_vec()),
        ("drained/desk-9", 4, b"gone".to_vec()),
        ("evacuation/zone-b", 2, b"1".to_vec()),
        ("evacuation/zone-c", 6, b"0".to_vec()),
        ("generation", 5, b"7".to_vec()),
        ("history/00000000000000000003", 1, digest(3)),
        ("history/00000000000000000007", 5, digest(7)),
    ];
    assert_eq!(
        committed_records_of(&replica),
        expected.map(|(key, sequence, value)| (key.to_owned(), sequence, value))
    );
    assert_eq!((replica.committed_sequence(), replica.newest_sequence()), (7, 7));
    let records = replica.committed_records();
    assert_eq!(records::current_generation(records), 7);
    let expected = EvacuatedZones { sequence: 6, zones: vec!["zone-b".to_owned()] };
    assert_eq!(records::evacuated_zones(records), expected);
    assert_eq!(records::departure_of(records, "desk-2"), Some(Departure::Draining));
    assert_eq!(records::departure_of(records, "desk-9"), Some(Departure::Deregistered));
    let view = replica.view();
    let voter = Voter { member: 0, incarnation: 0 };
    assert_eq!(view.number, 1);
    assert_eq!(
        view.members,
        [Member { voter, endpoint: endpoint(), zone: String::new(), region: String::new() }]
    );
    assert_eq!(view.voter_sets, [[voter]]);
    assert_eq!(view.chain, [ChainLink { voter, since_view: 1 }]);
    assert_eq!(view.former_chains, [[]; 0]);
    assert_eq!(view.next_member, 1);
}

/// A truncated newer slot is ignored, and the older slot and its log are used instead.
#[test]
fn state_is_recovered_from_the_older_slot() {
    let folder = TemporaryFolder::of_fixture("older");
    let (_, recovered) = open(&folder.0, "");
    let (complete, _) = start_replica(recovered, SECOND_START);
    let newer_slot = folder.0.join("slot-a");
    let mut bytes = fs::read(&newer_slot).expect("the slot exists");
    bytes.pop();
    fs::write(&newer_slot, bytes).expect("the folder can be written");
    let (_, recovered) = open(&folder.0, "");
    let (replica, _) = start_replica(recovered, SECOND_START);
    assert_eq!((replica.committed_sequence(), replica.newest_sequence()), (4, 4));
    assert_eq!(records::current_generation(replica.committed_records()), 3);
    assert!(committed_records_of(&complete).len() > committed_records_of(&replica).len());
}

/// The gossip state that the process saves for a restart.
fn saved_state() -> Gossip {
    let instance = |id: &str, host, sequence, draining, age_ms| GossipInstance {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: SocketAddr::from(([10, 128, 0, host], 8080)),
        zone: "zone-a".to_owned(),
        slots: 6,
        sequence,
        draining,
        deregistered: false,
        slow_start_ms: 0,
        age_ms,
    };
    let lease = GossipLease {
        node: "edge-1".to_owned(),
        incarnation: 1,
        zone: "zone-a".to_owned(),
        region: "north".to_owned(),
        front: SocketAddr::from(([10, 1, 0, 1], 8161)),
        ready: true,
        shutting_down: false,
        age_ms: 350,
        sends: Vec::new(),
        failing: Vec::new(),
    };
    let instances = vec![instance("desk-1", 18, 5, false, 700), instance("desk-2", 19, 6, true, 500)];
    Gossip { scope: GossipScope::Restored, instances, leases: vec![lease] }
}

#[test]
fn saved_state_is_restored() {
    let folder = TemporaryFolder::of_fixture("memory");
    let (_, recovered) = open(&folder.0, SAVED_STATE_PREFIX);
    assert!(recovered.log.is_empty());
    let stored = recovered.checkpoint.expect("the state was saved");
    assert_eq!(decode_gossip(&stored).expect("it can be read"), saved_state());
    assert_eq!(encode_gossip(&saved_state()), stored);
}

#[test]
fn controller_continues_from_the_recovered_folder() {
    let folder = TemporaryFolder::of_fixture("controller");
    let (_, recovered) = open(&folder.0, SAVED_STATE_PREFIX);
    let state = Bytes::from(recovered.checkpoint.expect("the state was saved"));
    let mut controller = FolderController::start(&folder.0, SECOND_START);
    controller.handle(Event::StateRestored { state });
    assert!(controller.controller.has_departed("desk-2"));
    assert!(controller.controller.has_departed("desk-9"));
    assert!(!controller.controller.has_departed("desk-1"));
    controller.pass(5_000);
    assert!(controller.controller.is_in_quorum(controller.now));
    controller.call(Call::Fetch);
    assert_eq!(controller.answers[0].body, configuration(7));
    controller.call(replace(7, 8));
    drop(controller);
    let (_, recovered) = open(&folder.0, "");
    let (replica, _) = start_replica(recovered, SECOND_START);
    assert_eq!(records::current_generation(replica.committed_records()), 8);
    assert_eq!(replica.committed_sequence(), 8);
}
