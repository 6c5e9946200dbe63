//! Protocol rules for controllers and agents: the standard ones, and variants with a deliberate fault.

use whinspindle_agent as agent;
use whinspindle_controller as controller;

/// The rules of the controllers and agents in a simulation.
pub trait Rules: Clone + std::fmt::Debug {
    type Controller: controller::ProtocolRules + 'static;
    type Agent: agent::ProtocolRules + 'static;
}

/// The rules of the production programs.
#[derive(Clone, Debug)]
pub struct StandardRules;

impl Rules for StandardRules {
    type Controller = controller::StandardRules;
    type Agent = agent::StandardRules;
}

/// A controller serves its records to balancers even without a quorum.
#[derive(Clone, Debug)]
pub struct ServesRecordsWithoutQuorum;

impl controller::ProtocolRules for ServesRecordsWithoutQuorum {
    fn should_serve_records(_may: bool) -> bool {
        true
    }
}

/// An agent without records accepts the first ones that it is sent, even from a partitioned controller.
#[derive(Clone, Debug)]
pub struct AcceptsAnyFirstRecords;

impl agent::ProtocolRules for AcceptsAnyFirstRecords {
    fn may_accept_initial_records(_is_eligible: bool) -> bool {
        true
    }
}

impl Rules for AcceptsAnyFirstRecords {
    type Controller = controller::StandardRules;
    type Agent = AcceptsAnyFirstRecords;
}

/// A partitioned controller serves its records to balancers, and they accept them.
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
    fn should_confirm_departure(_is_committed: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsUncommittedDeparture {
    type Controller = ConfirmsUncommittedDeparture;
    type Agent = agent::StandardRules;
}

/// A controller answers a read of the configuration from its own records, without asking the chain.
#[derive(Clone, Debug)]
pub struct AnswersReadsLocally;

impl controller::ProtocolRules for AnswersReadsLocally {
    fn should_answer_reads_locally() -> bool {
        true
    }
}

impl Rules for AnswersReadsLocally {
    type Controller = AnswersReadsLocally;
    type Agent = agent::StandardRules;
}

/// A heartbeat is confirmed by a controller without a quorum.
#[derive(Clone, Debug)]
pub struct ConfirmsHeartbeatWithoutQuorum;

impl controller::ProtocolRules for ConfirmsHeartbeatWithoutQuorum {
    fn should_confirm_heartbeat(_in_quorum: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsHeartbeatWithoutQuorum {
    type Controller = ConfirmsHeartbeatWithoutQuorum;
    type Agent = agent::StandardRules;
}
