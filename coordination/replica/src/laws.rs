//! The rules that keep what was acknowledged.

use crate::settings::ReplicaSettings;

/// What must hold. The defaults are what the program runs; tests plant faults in their place.
pub trait Laws {
    /// Up to which entry a member may acknowledge, pass on and commit.
    fn settled(durable: u64, _last: u64) -> u64 {
        durable
    }

    /// Whether the head answers reads itself, without asking the members after it.
    fn head_answers_reads() -> bool {
        false
    }

    /// The identity taken with an empty disk: a founding member's only where the whole system begins.
    fn birth(settings: &ReplicaSettings) -> u64 {
        let founds = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        if founds { 0 } else { settings.birth }
    }
}

/// The laws as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AsDesigned;

impl Laws for AsDesigned {}
