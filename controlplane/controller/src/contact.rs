//! Contact with a majority of the controllers: whether what is known here may be handed out as the newest.

/// Without a quorum for this long, balancers that have nothing are told what is known here. By then those that reach a
/// controller in a quorum have found it.
const ALONE_MS: u64 = 8_000;

/// A process that was not run for this long starts to count anew: the others may have gone on meanwhile.
const PAUSE_MS: u64 = 900;

/// What the replica says of its own standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// It hears a majority of the voters, and they hear it.
    pub in_quorum: bool,
    /// Another replica has committed more.
    pub is_behind: bool,
}

/// Times are those of the process's steady clock, in milliseconds.
#[derive(Debug)]
pub struct Contact {
    in_quorum: bool,
    /// When there was a quorum last, or the process started or went on after a pause, if that was later.
    alone_since: u64,
    has_had_quorum: bool,
    awake_at: u64,
    /// The newest position that another controller or a balancer has spoken of.
    newest_mentioned: u64,
}

impl Contact {
    /// As of the start of the process.
    pub fn new(now: u64) -> Contact {
        Contact {
            in_quorum: false,
            alone_since: now,
            has_had_quorum: false,
            awake_at: now,
            newest_mentioned: 0,
        }
    }

    /// The process runs. To be called before anything is taken in.
    pub fn awake(&mut self, now: u64) {
        if now > self.awake_at + PAUSE_MS {
            self.in_quorum = false;
            self.alone_since = now;
        }
        self.awake_at = now;
    }

    /// Takes the replica's standing. A quorum that was lost counts again only once nothing is missing here.
    pub fn observe(&mut self, now: u64, standing: Standing) {
        let is_current = self.in_quorum || !standing.is_behind;
        self.in_quorum = standing.in_quorum && is_current;
        if self.in_quorum {
            self.alone_since = now;
            self.has_had_quorum = true;
        }
    }

    /// Somebody knows the replicated history up to this position.
    pub fn mentioned(&mut self, position: u64) {
        self.newest_mentioned = self.newest_mentioned.max(position);
    }

    /// As last observed.
    pub fn is_in_quorum(&self) -> bool {
        self.in_quorum
    }

    /// Whether there was no quorum for this long.
    pub fn is_lost_for(&self, now: u64, span_ms: u64) -> bool {
        !self.in_quorum && (!self.has_had_quorum || self.alone_since + span_ms < now)
    }

    /// Whether a balancer that has nothing yet may be told the records up to a position.
    pub fn may_hand_out(&self, now: u64, committed: u64) -> bool {
        let is_outdated = self.newest_mentioned > committed;
        self.in_quorum || (!is_outdated && now >= self.alone_since + ALONE_MS)
    }
}
