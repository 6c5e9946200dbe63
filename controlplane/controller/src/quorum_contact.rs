//! Contact of this controller with a majority of the controllers. It determines whether the committed records
//! of this controller may be served as the newest ones.

/// The time without a quorum after which a controller serves its records to balancers that have none, in
/// milliseconds. By then, every balancer that can reach a controller in a quorum has connected to it.
const ISOLATED_SERVE_DELAY_MS: u64 = 8_000;

/// The maximum time between two events, in milliseconds. A longer gap is a pause of the process, during which
/// the other controllers may have committed more.
const MAX_EVENT_GAP_MS: u64 = 900;

/// The contact of the replica with the other replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaContact {
    /// Whether the replica receives heartbeats from a majority of the voters, and they receive its
    /// heartbeats.
    pub in_quorum: bool,
    /// Whether another replica has committed more.
    pub is_behind: bool,
}

/// The contact of this controller with a majority of the voters. Times are in milliseconds of the process's
/// monotonic clock.
#[derive(Debug)]
pub struct QuorumContact {
    in_quorum: bool,
    /// The latest of the last time with a quorum, the start of the process, and the end of its last pause.
    without_quorum_since: u64,
    has_had_quorum: bool,
    last_event_at: u64,
    /// The newest committed position that another controller or a balancer has reported.
    newest_remote_position: u64,
}

impl QuorumContact {
    /// Creates the state of a process that starts now, without contact.
    pub fn new(now: u64) -> QuorumContact {
        QuorumContact {
            in_quorum: false,
            without_quorum_since: now,
            has_had_quorum: false,
            last_event_at: now,
            newest_remote_position: 0,
        }
    }

    /// Resets the contact after a pause of the process. Must be called before each event is handled.
    pub fn detect_pause(&mut self, now: u64) {
        if now > self.last_event_at + MAX_EVENT_GAP_MS {
            self.in_quorum = false;
            self.without_quorum_since = now;
        }
        self.last_event_at = now;
    }

    /// Updates the contact from the replica. After a loss, the quorum is regained only once the replica is
    /// not behind.
    pub fn observe(&mut self, now: u64, replica: ReplicaContact) {
        let is_current = self.in_quorum || !replica.is_behind;
        self.in_quorum = replica.in_quorum && is_current;
        if self.in_quorum {
            self.without_quorum_since = now;
            self.has_had_quorum = true;
        }
    }

    /// Records that another controller or a balancer has the committed history up to `position`.
    pub fn observe_remote_position(&mut self, position: u64) {
        self.newest_remote_position = self.newest_remote_position.max(position);
    }

    /// Whether this controller was in a quorum at the last observation.
    pub fn is_in_quorum(&self) -> bool {
        self.in_quorum
    }

    /// Whether this controller has been without a quorum for longer than `duration_ms`.
    pub fn has_lacked_quorum_for(&self, now: u64, duration_ms: u64) -> bool {
        !self.in_quorum && (!self.has_had_quorum || self.without_quorum_since + duration_ms < now)
    }

    /// Whether the records up to the position `committed` may be served to a balancer that has none.
    pub fn may_serve_records(&self, now: u64, committed: u64) -> bool {
        let is_outdated = self.newest_remote_position > committed;
        self.in_quorum || (!is_outdated && now >= self.without_quorum_since + ISOLATED_SERVE_DELAY_MS)
    }
}
