//! The agreement of a fleet of balancers on its policy: a new policy comes into force at all members or at
//! none.
//!
//! Each process of the fleet has a `Member`, which renews a lease for the policy in force with the voters and
//! proves the next policy against its own settings. A member that votes agrees with the other voters on each
//! `Step` of the `Record` by CASPaxos (`whinspindle_consensus`). A member does no I/O and reads no clock. It
//! has a method for each event, to which the process passes the time of its monotonic clock, and acts through
//! an `Environment`. `docs/fleet-design.md` has the guarantees.
//!
//! ```text
//! let mut member: Member<_> = Member::new(environment, settings, stored_state, process_start, clock.now());
//! member.tick(clock.now());
//! member.receive(clock.now(), sender, message);
//! if let LeaseState::Policy(number) = member.lease_state(clock.now()) {
//!     // serve requests by the policy with this number
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
