//! Mechanisms of the balancer and the controller that `--without` disables one by one, to measure the effect
//! of each.

use snafu::{OptionExt, Snafu};

/// A mechanism that can be disabled. The variants are named after the values of `--without`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Upstreams in the balancer's own region are preferred.
    OwnRegionFirst,
    /// Upstreams in the balancer's own zone are preferred.
    OwnZoneFirst,
    /// The weights of regions are computed from their loads.
    SolvedWeights,
    /// Each region keeps a minimum weight above zero.
    FloorShare,
    /// Within a region, upstreams with many requests in flight are avoided.
    PassOver,
    /// Prompts are sent to the upstream whose prefix cache contains their start.
    Holders,
    /// A large prefix has one cache owner across all regions.
    HoldersAcrossRegions,
    /// The number of requests in flight at a cache owner is bounded.
    HolderBound,
    /// The amount of prompts that wait for prefill at a cache owner is bounded.
    UnreadBound,
    /// Failing upstreams are ejected temporarily.
    Rests,
    /// Unreachable zones and regions are skipped.
    Reachability,
    /// An upstream that does not respond is treated as failing.
    Silence,
    /// Failures that other balancers observe are taken into account.
    SharedFailures,
    /// The balancer's own requests in flight can mark an upstream as full.
    FullByOwnSends,
    /// Requests are rejected if all upstreams are full.
    RefusalWhenFull,
    /// Requests are rejected if all upstreams are down.
    RefusalWhenDown,
    /// The retry delay sent with a rejection depends on its reason.
    RefusalPauses,
    /// Requests may be retried on another upstream, which might execute them a second time.
    Repeats,
    /// Upstreams in slow start receive less traffic.
    ColdShares,
    /// Upstreams are assumed to be in slow start after a failure of their zone.
    SuspectedZones,
    /// The priority of a request is forwarded to the upstream.
    Priority,
    /// A process that has just started queues requests for which no upstream is available yet.
    StartWait,
    /// Broken streams are resumed on another upstream.
    Resumption,
    /// Silent streams are moved to another upstream.
    SilenceMove,
    /// A restarted controller restores its saved state.
    Recall,
}

/// The mechanisms, each with its name on the command line and the effect of disabling it.
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
    /// Returns all mechanisms in the order of the help text.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        TABLE.iter().map(|row| row.0)
    }

    /// Whether the mechanism belongs to the controller; all others belong to the proxy.
    pub fn belongs_to_controller(self) -> bool {
        self == Mechanism::Recall
    }

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        TABLE[self as usize].1
    }

    /// Returns a description of the effect of disabling the mechanism, for the help text.
    pub fn effect_when_off(self) -> &'static str {
        TABLE[self as usize].2
    }
}

/// An error for a name on the command line that is not the name of a mechanism.
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

/// The set of enabled mechanisms; by default all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    /// One bit for each disabled mechanism.
    disabled_bits: u32,
}

impl Mechanisms {
    /// Parses a comma-separated list of names. All mechanisms except the named ones are enabled.
    pub fn without(names: &str) -> Result<Mechanisms, UnknownMechanism> {
        names.split(',').map(str::trim).filter(|name| !name.is_empty()).try_fold(
            Mechanisms::default(),
            |mechanisms, name| {
                let mechanism = Mechanism::all().find(|mechanism| mechanism.name() == name);
                Ok(mechanisms.switch_off(mechanism.context(UnknownMechanismSnafu { name })?))
            },
        )
    }

    /// Returns the set with one more mechanism disabled.
    pub fn switch_off(self, mechanism: Mechanism) -> Mechanisms {
        Mechanisms { disabled_bits: self.disabled_bits | bit(mechanism) }
    }

    /// Whether a mechanism is enabled.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.disabled_bits & bit(mechanism) == 0
    }

    /// Returns the disabled mechanisms.
    pub fn switched_off(self) -> impl Iterator<Item = Mechanism> {
        Mechanism::all().filter(move |&mechanism| !self.has(mechanism))
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
