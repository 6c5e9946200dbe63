//! CASPaxos: a single replicated register that a set of voters changes by consensus.
//!
//! Implements the register of D. Rystsov, "CASPaxos: Replicated State Machines without logs", arXiv:1802.07000,
//! section 2.2, which is single-decree Paxos (L. Lamport, "Paxos Made Simple", 2001, section 2.2) whose proposer writes
//! a change of the value that its prepare phase returned. Voters are replaced through joint consensus (D. Ongaro and
//! J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6): while two voter sets stand,
//! a majority of each is required.
//!
//! A process that votes keeps an [`AcceptorState`], which it makes durable before it answers. A process that wants to
//! change the value drives one [`Round`]:
//!
//! 1. [`Round::new`] with a [`Ballot`] that was never used before; send it to [`Round::awaiting_promise`].
//! 2. Pass each promise to [`Round::record_promise`] until [`Round::prepared_value`] returns the value to start from.
//! 3. [`Round::propose`] the changed value and send it to the voters that are returned.
//! 4. Pass each acceptance to [`Round::record_vote`], which returns the value once it is chosen.
//!
//! The crate does no I/O, reads no clock and draws no random numbers: the caller carries the messages.

mod acceptor;
mod ballot;
mod proposer;
mod register;
mod rules;

pub use acceptor::AcceptorState;
pub use ballot::{Ballot, Voter};
pub use proposer::Round;
pub use register::RegisterValue;
pub use rules::{ConsensusRules, StandardConsensusRules};
