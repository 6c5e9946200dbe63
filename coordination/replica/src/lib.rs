//! Chain replication reconfigured by an agreed membership view, as a state machine.
//!
//! The members of the chain keep the same records. Writes enter at the head, pass every member and are
//! committed and answered at the tail; reads pass the chain too, so that a member that was cut off never answers
//! (R. van Renesse and F. Schneider, "Chain Replication for Supporting High Throughput and Availability", 2004).
//! Who is in the chain is a [`View`], the value of a register that a majority of voters agrees on. A voter that
//! has promised to vote for a newer view takes no part in the chain of the present one any more.
//!
//! The state machine has no clock, socket, disk or chance of its own: [`Replica::handle`] is given the time and
//! what happened, and returns what to send, to make durable and to answer.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod application;
mod catch_up;
mod codec;
mod disk;
mod durable;
mod entry;
mod input;
mod jitter;
mod message;
mod output;
mod peers;
mod placement;
mod planning;
mod protocol_rules;
mod recent_entries;
mod records;
mod replica;
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
mod replica_capnp;
mod session;
mod settings;
mod submissions;
mod transfer;
mod view;
mod view_change_state;

pub use application::{Answer, Application, Evaluation};
pub use durable::{DurableWrite, RecoverError};
pub use entry::Origin;
pub use input::Input;
pub use message::Message;
pub use output::{Output, Reply, SubmitError};
pub use placement::{FailureDomain, LossKind, Tolerance};
pub use protocol_rules::{ProtocolRules, StandardRules};
pub use records::{Record, RecordWrite, Records};
pub use replica::Replica;
pub use settings::{ReplicaSettings, Timing};
pub use view::{ChainLink, Member, View};
pub use whinspindle_consensus::{ConsensusRules, StandardConsensusRules, Voter};
pub use whinspindle_encoding::DecodeError;
