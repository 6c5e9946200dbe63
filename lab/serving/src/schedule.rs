//! What happens to the cluster while clients use it.

/// Something that is done to the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A model upstream ends without a word.
    KillUpstream,
    /// A new incarnation of it starts, cold.
    ReturnUpstream,
    /// A model upstream says that it is draining, and ends in order.
    DrainUpstream,
    KillController,
    /// The operator changes the configuration while a controller is down.
    ReplaceConfiguration,
    RestartController,
    /// A proxy and its agent get SIGTERM.
    StopEdge,
    StartEdge,
}

/// When events happen, as parts of the whole time.
const EVENTS: [(f64, Event); 8] = [
    (0.2, Event::KillUpstream),
    (0.35, Event::DrainUpstream),
    (0.45, Event::ReturnUpstream),
    (0.55, Event::KillController),
    (0.6, Event::ReplaceConfiguration),
    (0.7, Event::RestartController),
    (0.8, Event::StopEdge),
    (0.9, Event::StartEdge),
];

/// An event and its time since the start of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scheduled {
    pub at_ms: u64,
    pub event: Event,
}

/// The events of a run of this length, in order.
pub fn schedule(length_ms: u64) -> Vec<Scheduled> {
    let scheduled = |&(share, event): &(f64, Event)| {
        let at_ms = (length_ms as f64 * share) as u64;
        Scheduled { at_ms, event }
    };
    EVENTS.iter().map(scheduled).collect()
}
