//! The agreement of a fleet of balancers on its policy: a new policy comes into force at all members or at none.
//!
//! Each process of the fleet has a `Member`. It renews a lease for the policy in force with the voters, proves the
//! next policy against its own settings, and, if it votes, agrees with the other voters on each `Step` of the
//! `Record` by CASPaxos (`whinspindle_consensus`). A member does no I/O and reads no clock: it has a method for
//! each event, takes the time of the process's monotonic clock, and acts through an `Environment`.
//! `docs/fleet-design.md` has the guarantees.
//!
//! ```text
//! let mut member: Member<_> = Member::new(environment, settings, stored_state, start_number, clock.now());
//! member.tick(clock.now());
//! member.receive(clock.now(), sender, message);
//! if let LeaseState::Policy(number) = member.lease_state(clock.now()) {
//!     // decide by the policy with this number
//! }
//! ```

mod member;
mod message;
mod record;
mod texts;

pub use member::{DurableState, Environment, Member, MemberRules, MemberSettings, PeerReport};
pub use message::{LeaseState, Message, Objection, Readiness, RequestKind};
pub use record::{
    Change, ChangeOutcome, Halt, Hash, MAX_TEXT_BYTES, PastChange, PastRelease, Policy, Record, Release,
    ReleaseOutcome, ReleasePart, RequestId, RestartGrant, Step,
};
pub use texts::CHUNK_BYTES;
pub use whinspindle_consensus::{Ballot, StandardConsensusRules, Voter};
pub use whinspindle_rollout::{Direction, ObservationRow, Plan, RestartRefusal, Unit};
