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
//! ```
//! use whinspindle_consensus::{AcceptorState, Ballot, RegisterValue, Round, StandardConsensusRules as Rules, Voter};
//!
//! /// A number, and the one voter set that decides on it.
//! #[derive(Clone, Debug, PartialEq)]
//! struct Register {
//!     number: u64,
//!     voter_sets: Vec<Vec<Voter>>,
//! }
//!
//! impl RegisterValue for Register {
//!     fn voter_sets(&self) -> &[Vec<Voter>] {
//!         &self.voter_sets
//!     }
//!
//!     fn is_bootstrapped(&self) -> bool {
//!         self.number > 0
//!     }
//! }
//!
//! let voters: Vec<Voter> = (0..3).map(|member| Voter { member, incarnation: 1 }).collect();
//! let mut acceptors = vec![AcceptorState::<Register>::default(); 3];
//! let first = Register { number: 0, voter_sets: vec![voters.clone()] };
//!
//! let ballot = Ballot { epoch: 1, round: 1, member: 0, start_id: 7 };
//! let mut round = Round::new(ballot, first);
//! for (voter, acceptor) in voters.iter().zip(&mut acceptors) {
//!     acceptor.prepare(ballot)?;
//!     round.record_promise(*voter, acceptor.accepted.clone());
//! }
//! let mut changed = round.prepared_value::<Rules>().expect("all voters have promised").clone();
//! changed.number += 1;
//! round.propose::<Rules>(changed.clone());
//! // Two acceptances of three are a majority.
//! let mut chosen = None;
//! for (voter, acceptor) in voters.iter().zip(&mut acceptors).take(2) {
//!     acceptor.accept::<Rules>(ballot, changed.clone())?;
//!     chosen = round.record_vote::<Rules>(*voter).cloned();
//! }
//! assert_eq!(chosen, Some(changed));
//! # Ok::<(), Ballot>(())
//! ```
//!
//! A voter whose durable state is lost for good is passed to [`Round::record_lost`]: half of an even number of voters
//! decides once all others are lost ([`ConsensusRules::is_quorum`]).
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
