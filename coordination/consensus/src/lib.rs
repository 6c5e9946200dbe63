//! CASPaxos: a single replicated register that a set of voters changes by consensus.
//!
//! Implements the register of D. Rystsov, "CASPaxos: Replicated State Machines without logs",
//! arXiv:1802.07000, section 2.2, which is single-decree Paxos (L. Lamport, "Paxos Made Simple", 2001,
//! section 2.2) whose proposer writes a change of the value that its prepare phase returned. Voters are
//! replaced through joint consensus (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014, section 6): while there are two voter sets, a majority of each is required.
//!
//! A voter keeps an [`AcceptorState`] and makes it durable before it answers. A proposer changes the value
//! with a [`Round`]:
//!
//! 1. Create a [`Round`] with an unused [`Ballot`], and send the ballot to the voters in
//!    [`Round::awaiting_promise`].
//! 2. Pass each promise to [`Round::record_promise`] until [`Round::prepared_value`] returns the value to
//!    change.
//! 3. Pass the changed value to [`Round::propose`], and send it to the voters that it returns.
//! 4. Pass each acceptance to [`Round::record_vote`], which returns the value once it is chosen.
//!
//! ```
//! use whinspindle_consensus::{
//!     AcceptorState, Ballot, RegisterValue, Round, StandardConsensusRules as Rules, Voter,
//! };
//!
//! /// A number and the voter set that decides on it.
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
//! let initial = Register { number: 0, voter_sets: vec![voters.clone()] };
//!
//! let ballot = Ballot { epoch: 1, round: 1, member: 0, start_id: 7 };
//! let mut round = Round::new(ballot, initial);
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
//! Pass a voter whose durable state is permanently lost to [`Round::record_lost`]. Half of an even number
//! of voters is a quorum once all the others are lost ([`ConsensusRules::is_quorum`]).
//!
//! The crate has no I/O, clock or random source. The caller transports the messages.

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
