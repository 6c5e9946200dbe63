//! Mechanisms of a decision that can be switched off one by one (`--without`), to measure the effect of each.

use snafu::{OptionExt, Snafu};

/// One mechanism of a decision. The variants have the names of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Upstreams of the own region are preferred.
    OwnRegionFirst,
    /// Upstreams of the own zone are preferred.
    OwnZoneFirst,
    /// The weights of regions are computed from their loads.
    SolvedWeights,
    /// The weight of a region never falls to zero.
    FloorShare,
    /// The choice inside a region avoids upstreams with many requests in flight.
    PassOver,
    /// Prompts go to the upstream whose prefix cache has their start.
    Holders,
    /// Large prefixes have one cache owner for all regions.
    HoldersAcrossRegions,
    /// The requests in flight at a cache owner are bounded.
    HolderBound,
    /// The prompts that wait for prefill at a cache owner are bounded.
    UnreadBound,
    /// Failing upstreams are ejected for a while.
    Rests,
    /// Unreachable zones and regions are passed over.
    Reachability,
    /// An upstream that answers nothing counts as failing.
    Silence,
    /// Failures seen by other balancers count.
    SharedFailures,
    /// Own requests in flight can make an upstream full.
    FullByOwnSends,
    /// Requests are rejected where all upstreams are full.
    RefusalWhenFull,
    /// Requests are rejected where all upstreams are down.
    RefusalWhenDown,
    /// The time to come back after a rejection depends on its reason.
    RefusalPauses,
    /// Requests may be retried at an upstream that might run them a second time.
    Repeats,
    /// Upstreams in slow start get less traffic.
    ColdShares,
    /// Upstreams are assumed to be in slow start after a failure of their zone.
    SuspectedZones,
    /// Upstreams are sent the priority of requests.
    Priority,
    /// A process that has just started queues requests that it can't place yet.
    StartWait,
    /// Broken streams are resumed on another upstream.
    Resumption,
    /// Silent streams are moved to another upstream.
    SilenceMove,
    /// A restarted controller restores its saved state.
    Recall,
}

/// The name of each mechanism on the command line, and what happens without it.
const TABLE: [(Mechanism, &str, &str); 25] = [
    (Mechanism::OwnRegionFirst, "own-region-first", "regions are drawn by weight alone"),
    (Mechanism::OwnZoneFirst, "own-zone-first", "zones of the own region are not told apart"),
    (Mechanism::SolvedWeights, "solved-weights", "regions weigh as much as they have ready upstreams"),
    (Mechanism::FloorShare, "floor-share", "a region's weight may fall to nothing"),
    (Mechanism::PassOver, "pass-over", "the pick inside a region heeds no sends in flight"),
    (Mechanism::Holders, "holders", "prompts go to any upstream, whatever it keeps"),
    (
        Mechanism::HoldersAcrossRegions,
        "holders-across-regions",
        "each region keeps large prefixes of its own",
    ),
    (Mechanism::HolderBound, "holder-bound", "a holder gets its prompts however many it has in flight"),
    (Mechanism::UnreadBound, "unread-bound", "a holder gets its prompts whatever waits to be read there"),
    (Mechanism::Rests, "rests", "upstreams that fail are sent to as before"),
    (
        Mechanism::Reachability,
        "reachability",
        "zones and regions that can't be reached are tried by each request",
    ),
    (Mechanism::Silence, "silence", "an upstream that answers nothing is not taken for failed"),
    (Mechanism::SharedFailures, "shared-failures", "what other balancers have seen fail is not heeded"),
    (Mechanism::FullByOwnSends, "full-by-own-sends", "own sends in flight never make an upstream full"),
    (Mechanism::RefusalWhenFull, "refusal-when-full", "requests are sent where all upstreams are full"),
    (Mechanism::RefusalWhenDown, "refusal-when-down", "requests are sent where all upstreams are down"),
    (
        Mechanism::RefusalPauses,
        "refusal-pauses",
        "the pause of a refusal is a part of the objective, whatever the reason",
    ),
    (Mechanism::Repeats, "repeats", "no request is sent to a second upstream that might run it"),
    (Mechanism::ColdShares, "cold-shares", "cold upstreams are sent to like others (breaks FAILBACK)"),
    (Mechanism::SuspectedZones, "suspected-zones", "upstreams are cold only once they say so"),
    (Mechanism::Priority, "priority", "upstreams are told no priorities"),
    (Mechanism::StartWait, "start-wait", "a process that has just started refuses what it can't place yet"),
    (Mechanism::Resumption, "resumption", "a broken stream is cut, and its client may take it up"),
    (Mechanism::SilenceMove, "silence-move", "a silent stream stays where it is"),
    (Mechanism::Recall, "recall", "a controller that starts again remembers no upstreams and balancers"),
];

impl Mechanism {
    /// All mechanisms, in the order of the help text.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        TABLE.iter().map(|row| row.0)
    }

    /// Whether it belongs to the controller; all others belong to the proxy.
    pub fn belongs_to_controller(self) -> bool {
        self == Mechanism::Recall
    }

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        TABLE[self as usize].1
    }

    /// What happens without it, for the help text.
    pub fn effect_when_off(self) -> &'static str {
        TABLE[self as usize].2
    }
}

/// A name on the command line that is no mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown mechanism `{name}`; known: {}", known_names()))]
pub struct UnknownMechanism {
    /// The unknown name.
    pub name: String,
}

fn known_names() -> String {
    let names: Vec<_> = Mechanism::all().map(Mechanism::name).collect();
    names.join(", ")
}

/// Which mechanisms are on; by default all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    /// A bit for each mechanism that is off.
    off: u32,
}

impl Mechanisms {
    /// Parses names separated by commas: all mechanisms but these are on.
    pub fn without(names: &str) -> Result<Mechanisms, UnknownMechanism> {
        names.split(',').map(str::trim).filter(|name| !name.is_empty()).try_fold(
            Mechanisms::default(),
            |mechanisms, name| {
                let found = Mechanism::all().find(|mechanism| mechanism.name() == name);
                Ok(mechanisms.switch_off(found.context(UnknownMechanismSnafu { name })?))
            },
        )
    }

    /// The same without one more.
    pub fn switch_off(self, mechanism: Mechanism) -> Mechanisms {
        Mechanisms { off: self.off | bit(mechanism) }
    }

    /// Whether a mechanism is on.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// The mechanisms that are off.
    pub fn switched_off(self) -> impl Iterator<Item = Mechanism> {
        Mechanism::all().filter(move |&mechanism| !self.has(mechanism))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
