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
pub struct TellsAlone;

impl controller::ProtocolRules for TellsAlone {
    fn hands_out(_may: bool) -> bool {
        true
    }
}

/// An agent without records takes the first ones that it is told, also those of a controller that is cut off.
#[derive(Clone, Debug)]
pub struct TakesAny;

impl agent::ProtocolRules for TakesAny {
    fn takes_first_records(_may: bool) -> bool {
        true
    }
}

impl Rules for TakesAny {
    type Controller = controller::StandardRules;
    type Agent = TakesAny;
}

/// A controller that is cut off still tells its balancers, and they take it.
#[derive(Clone, Debug)]
pub struct CutOffTells;

impl Rules for CutOffTells {
    type Controller = TellsAlone;
    type Agent = TakesAny;
}

/// A departure is confirmed before it is committed.
#[derive(Clone, Debug)]
pub struct ConfirmsEarly;

impl controller::ProtocolRules for ConfirmsEarly {
    fn confirms_departure(_is_committed: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsEarly {
    type Controller = ConfirmsEarly;
    type Agent = agent::StandardRules;
}

/// A controller answers a read of the configuration by what it knows itself.
#[derive(Clone, Debug)]
pub struct ReadsAlone;

impl controller::ProtocolRules for ReadsAlone {
    fn answers_reads_alone() -> bool {
        true
    }
}

impl Rules for ReadsAlone {
    type Controller = ReadsAlone;
    type Agent = agent::StandardRules;
}

/// A heartbeat is confirmed by a controller that no other one hears.
#[derive(Clone, Debug)]
pub struct ConfirmsAlone;

impl controller::ProtocolRules for ConfirmsAlone {
    fn confirms_heartbeat(_in_quorum: bool) -> bool {
        true
    }
}

impl Rules for ConfirmsAlone {
    type Controller = ConfirmsAlone;
    type Agent = agent::StandardRules;
}
