//! Chain replication that is reconfigured through membership views, as a deterministic state machine.
//!
//! The members of the chain store the same records. Writes enter at the head, pass through every member,
//! and are committed and answered at the tail. Reads pass through the chain too, so that a partitioned
//! member never answers a read (R. van Renesse and F. Schneider, "Chain Replication for Supporting High
//! Throughput and Availability", 2004, section 3). A [`View`] contains the voters and the chain. It is the
//! value of a register of `whinspindle-consensus`. A voter that has promised a newer view is *fenced*: it
//! no longer takes part in the chain of the current view.
//!
//! Use it where commands must be linearizable and survive the loss of machines. The embedding program
//! implements [`Application`], and drives a [`Replica`] with [`Input`]s and [`Output`]s. The crate itself
//! has no clock, socket, disk or random source.
//!
//! ```
//! use whinspindle_replica::{Answer, Application, Evaluation, Input, Output, RecordWrite, Records};
//!
//! /// Each command replaces the value of one record.
//! struct Register;
//!
//! impl Application for Register {
//!     fn evaluate(&self, _records: &Records, command: &[u8]) -> Evaluation {
//!         let write = RecordWrite { key: "register".to_owned(), value: Some(command.to_vec()) };
//!         Evaluation { writes: vec![write], answer: Answer::Value(b"done".to_vec()) }
//!     }
//! }
//! # use whinspindle_replica::{Replica, ReplicaSettings, Timing, Tolerance};
//! # let endpoint = "127.0.0.1:7000".parse().unwrap();
//! # let settings = ReplicaSettings {
//! #     endpoint,
//! #     zone: "zone".to_owned(),
//! #     region: "region".to_owned(),
//! #     seeds: vec![endpoint],
//! #     bootstrap: true,
//! #     incarnation: 1,
//! #     start_id: 1,
//! #     tolerance: Tolerance::machines_only(0),
//! #     timing: Timing::default(),
//! # };
//!
//! // A system of one replica with an empty disk. Its writes are confirmed at the next tick.
//! let (mut replica, mut outputs) = Replica::new(settings, Register, (None, Vec::new()), 0)?;
//! outputs.extend(replica.handle(10, Input::Submit { ticket: 1, command: b"value".to_vec() }));
//! for now in (50..1_000).step_by(50) {
//!     for output in std::mem::take(&mut outputs) {
//!         match output {
//!             Output::Persist { token, .. } => {
//!                 outputs.extend(replica.handle(now, Input::Persisted { token }));
//!             }
//!             Output::Reply { ticket, result } => assert_eq!((ticket, result.is_ok()), (1, true)),
//!             _ => {}
//!         }
//!     }
//!     outputs.extend(replica.handle(now, Input::Tick));
//! }
//! assert_eq!(replica.committed_sequence(), 1);
//! # Ok::<(), whinspindle_replica::RecoverError>(())
//! ```

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
mod protocol_version;
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
pub use protocol_version::{MIN_VERSION_FOR_VOTER_LOST, PROTOCOL_VERSION};
pub use records::{Record, RecordWrite, Records};
pub use replica::{ForcedReconfiguration, ReconfigurationError, Replica};
pub use settings::{ReplicaSettings, Timing};
pub use view::{ChainLink, Member, View};
pub use whinspindle_consensus::{ConsensusRules, StandardConsensusRules, Voter};
pub use whinspindle_encoding::DecodeError;
