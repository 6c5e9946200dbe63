//! The rules that controllers and agents are played under: as the programs keep them, or with a planted fault.

use whinspindle_agent as agent;
use whinspindle_controller as controller;

/// Which rules hold in a play.
pub trait Rules: Clone + std::fmt::Debug {
    type Controller: controller::ProtocolRules + 'static;
    type Agent: agent::ProtocolRules + 'static;
}

/// As the programs keep them.
#[derive(Clone, Debug)]
pub struct StandardRules;

impl Rules for StandardRules {
    type Controller = controller::StandardRules;
    type Agent = agent::StandardRules;
}

/// A controller tells balancers its records whatever its contact with the others.
#[derive(Clone, Debug)]
pub struct ServesRecordsWithoutQuorum;

impl controller::ProtocolRules for ServesRecordsWithoutQuorum {
    fn serves_records(_may: bool) -> bool {
        true
    }
}

/// An agent without records takes the first ones that it is told, also those of a controller that is cut off.
#[derive(Clone, Debug)]
pub struct AcceptsAnyFirstRecords;

impl agent::ProtocolRules for AcceptsAnyFirstRecords {
    fn takes_first_records(_may: bool) -> bool {
        true
    }
}

impl Rules for AcceptsAnyFirstRecords {
    type Controller = controller::StandardRules;
    type Agent = AcceptsAnyFirstRecords;
}

/// A controller that is cut off still tells its balancers, and they take it.
#[derive(Clone, Debug)]
pub struct PartitionedControllerServesRecords;

impl Rules for PartitionedControllerServesRecords {
    type Controller = ServesRecordsWithoutQuorum;
    type Agent = AcceptsAnyFirstRecords;
}

/// A departure is confirmed before it is committed.
#[derive(Clone, Debug)]
pub struct ConfirmsUncommittedDeparture;

impl controller::ProtocolRules for ConfirmsUncommittedDeparture {
    fn confirms_departure(_is_committed: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsUncommittedDeparture {
    type Controller = ConfirmsUncommittedDeparture;
    type Agent = agent::StandardRules;
}

/// A controller answers a read of the configuration by what it knows itself.
#[derive(Clone, Debug)]
pub struct AnswersReadsLocally;

impl controller::ProtocolRules for AnswersReadsLocally {
    fn answers_reads_locally() -> bool {
        true
    }
}

impl Rules for AnswersReadsLocally {
    type Controller = AnswersReadsLocally;
    type Agent = agent::StandardRules;
}

/// A heartbeat is confirmed by a controller that no other one hears.
#[derive(Clone, Debug)]
pub struct ConfirmsHeartbeatWithoutQuorum;

impl controller::ProtocolRules for ConfirmsHeartbeatWithoutQuorum {
    fn confirms_heartbeat(_in_quorum: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsHeartbeatWithoutQuorum {
    type Controller = ConfirmsHeartbeatWithoutQuorum;
    type Agent = agent::StandardRules;
}
