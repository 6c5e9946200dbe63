//! The acceptor: the state of one voter.

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::register::RegisterValue;
use crate::rules::ConsensusRules;

/// The durable state of a voter. Its owner makes it durable before the answer is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// The highest ballot that was promised; proposals of a lower one are rejected.
    pub promised: Ballot,
    /// The newest value that was accepted, with the ballot of its proposal.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for AcceptorState<V> {
    fn default() -> Self {
        AcceptorState { promised: Ballot::default(), accepted: None }
    }
}

impl<V: RegisterValue> AcceptorState<V> {
    /// Phase 1: promises to accept no proposal of a lower ballot.
    ///
    /// # Errors
    ///
    /// The ballot that was promised already, if it is higher.
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
    /// The ballot that was promised already, if it is higher.
    pub fn accept<Rules: ConsensusRules>(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if !Rules::may_vote(self.promised, ballot) {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some((ballot, value));
        Ok(())
    }
}
