//! The acceptor: the state and the decisions of one voter.

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::register::RegisterValue;
use crate::rules::ConsensusRules;

/// The durable state of a voter. The caller must make it durable before sending the answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// The highest promised ballot. Proposals with a lower ballot are rejected.
    pub promised: Ballot,
    /// The newest accepted value and the ballot of its proposal.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for AcceptorState<V> {
    fn default() -> Self {
        AcceptorState { promised: Ballot::default(), accepted: None }
    }
}

impl<V: RegisterValue> AcceptorState<V> {
    /// Phase 1: promises to reject proposals with a lower ballot.
    ///
    /// # Errors
    ///
    /// Returns the ballot promised earlier if it is higher.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(())
    }

    /// Phase 2: accepts a value.
    ///
    /// # Errors
    ///
    /// Returns the ballot promised earlier if it is higher.
    pub fn accept<Rules: ConsensusRules>(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if !Rules::may_vote(self.promised, ballot) {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some((ballot, value));
        Ok(())
    }
}
