//! Contact with a majority of the controllers: whether the committed records that are known here may be served as the
//! newest.

/// A controller without a quorum for this long serves its records to balancers that have none, in milliseconds. By then
/// balancers that reach a controller in a quorum have found it.
const ISOLATED_SERVE_DELAY_MS: u64 = 8_000;

/// A longer gap between two events, in milliseconds, is a pause of the process: the other controllers may have gone on
/// without it.
const MAX_EVENT_GAP_MS: u64 = 900;

/// What the replica reports of its contact with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaContact {
    /// It receives heartbeats from a majority of the voters, and they receive its own.
    pub in_quorum: bool,
    /// Another replica has committed more.
    pub is_behind: bool,
}

/// The contact of this controller with a majority of the voters. Times are milliseconds of the process's steady clock.
#[derive(Debug)]
pub struct QuorumContact {
    in_quorum: bool,
    /// The last time with a quorum; or the start of the process or the end of its last pause, if that was later.
    without_quorum_since: u64,
    has_had_quorum: bool,
    last_event_at: u64,
    /// The newest committed position that another controller or a balancer has reported.
    newest_known_elsewhere: u64,
}

impl QuorumContact {
    /// The contact of a process that starts now: none.
    pub fn new(now: u64) -> QuorumContact {
        QuorumContact {
            in_quorum: false,
            without_quorum_since: now,
            has_had_quorum: false,
            last_event_at: now,
            newest_known_elsewhere: 0,
        }
    }

    /// Drops the quorum after a pause of the process. To be called before each event is handled.
    pub fn detect_pause(&mut self, now: u64) {
        if now > self.last_event_at + MAX_EVENT_GAP_MS {
            self.in_quorum = false;
            self.without_quorum_since = now;
        }
        self.last_event_at = now;
    }

    /// Takes the replica's report. A lost quorum counts again only once no newer commit is known elsewhere.
    pub fn observe(&mut self, now: u64, replica: ReplicaContact) {
        let is_current = self.in_quorum || !replica.is_behind;
        self.in_quorum = replica.in_quorum && is_current;
        if self.in_quorum {
            self.without_quorum_since = now;
            self.has_had_quorum = true;
        }
    }

    /// Another controller or a balancer knows the committed history up to this position.
    pub fn observe_remote_position(&mut self, position: u64) {
        self.newest_known_elsewhere = self.newest_known_elsewhere.max(position);
    }

    /// Whether there was a quorum at the last observation.
    pub fn is_in_quorum(&self) -> bool {
        self.in_quorum
    }

    /// Whether there has been no quorum for longer than this, in milliseconds.
    pub fn has_lacked_quorum_for(&self, now: u64, span_ms: u64) -> bool {
        !self.in_quorum && (!self.has_had_quorum || self.without_quorum_since + span_ms < now)
    }

    /// Whether the records up to the position `committed` may be served to a balancer that has none yet.
    pub fn may_serve_records(&self, now: u64, committed: u64) -> bool {
        let is_outdated = self.newest_known_elsewhere > committed;
        self.in_quorum || (!is_outdated && now >= self.without_quorum_since + ISOLATED_SERVE_DELAY_MS)
    }
}
