//! What the referee is told of requests and upstreams.

/// What holds for a request by the route it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRules {
    pub service: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The most upstreams on which it may run.
    pub most_upstreams: usize,
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<String>,
}

/// Which upstream it is, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPlace {
    pub instance: String,
    pub service: String,
    pub region: String,
}
