//! One upstream instance, as this balancer sees it.

use whinspindle_distribution::Instance;

use crate::InstanceTarget;
use crate::affinity::hash_id;
use crate::catalogue::{RegionId, ZoneId};
use crate::cold::{ColdPace, ColdShare};
use crate::health::Health;

/// An instance counts as cold for so much longer than it said.
const COLD_MARGIN_MS: u64 = 300;
/// An instance is full for sure when this balancer alone has so many more there than it has slots.
const QUEUED_PART: u32 = 4;
const LEAST_QUEUED: u32 = 2;

/// Whether an instance may be sent to, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    Open,
    /// Cold, with room in this balancer's share.
    ColdOpen,
    /// It has failed; to be used where there is nothing else.
    Resting,
    Full,
    /// Cold, and this balancer's share is used.
    ColdSpent,
    /// It has failed for a while, its last trial too: a send would be in vain.
    Down,
    /// Not to be sent to by any rule.
    Closed,
}

#[derive(Debug)]
pub(crate) struct InstanceState {
    pub(crate) target: InstanceTarget,
    pub(crate) zone: ZoneId,
    pub(crate) region: RegionId,
    /// Places it in the rendezvous hashing.
    pub(crate) hash: u64,
    pub(crate) slots: u32,
    pub(crate) in_flight: u32,
    /// Of those in flight: sends without a first event or answer.
    pub(crate) unanswered: u32,
    /// Tokens of the prompts of those.
    pub(crate) unread_tokens: u64,
    pub(crate) health: Health,
    pub(crate) cold_share: ColdShare,
    pub(crate) evacuated: bool,
    /// Its zone or region is taken to be out of reach until then; after that, one send tries it.
    pub(crate) out_of_reach_until: u64,
    /// It stands in the balancer's zone.
    pub(crate) in_own_zone: bool,
    /// Several balancers have seen it fail, as told last.
    pub(crate) is_blamed: bool,
    /// Until when it is left alone for that.
    pub(crate) blamed_until: u64,
    /// It takes no new requests, now or ever again.
    pub(crate) retired: bool,
    /// Since when the control plane doesn't know it, if so.
    pub(crate) unlisted_since: Option<u64>,
    cold_until: u64,
    /// It may have turned cold without a word.
    suspect_until: u64,
    /// When it was last told to be cold that had been told to be warm.
    turned_cold_at: Option<u64>,
    is_told: bool,
}

impl InstanceState {
    pub(crate) fn new(target: InstanceTarget, zone: ZoneId, region: RegionId) -> Self {
        InstanceState {
            hash: hash_id(&target.id),
            target,
            zone,
            region,
            slots: 0,
            in_flight: 0,
            unanswered: 0,
            unread_tokens: 0,
            health: Health::default(),
            cold_share: ColdShare::default(),
            evacuated: false,
            is_blamed: false,
            blamed_until: 0,
            out_of_reach_until: 0,
            in_own_zone: false,
            retired: false,
            unlisted_since: None,
            cold_until: 0,
            suspect_until: 0,
            turned_cold_at: None,
            is_told: false,
        }
    }

    pub(crate) fn update(&mut self, now: u64, told: &Instance) {
        let was_warm = self.is_told && self.unlisted_since.is_none() && now >= self.cold_until;
        self.is_told = true;
        self.slots = told.slots;
        self.retired |= told.draining;
        self.unlisted_since = None;
        if told.slow_start_ms > 0 {
            self.turned_cold_at = if was_warm { Some(now) } else { self.turned_cold_at };
            self.cold_until =
                self.cold_until.max(now.saturating_add(told.slow_start_ms).saturating_add(COLD_MARGIN_MS));
        }
    }

    pub(crate) fn suspect_cold(&mut self, until: u64) {
        self.suspect_until = self.suspect_until.max(until);
    }

    /// Until when it is cold, if it turned cold within so long before.
    pub(crate) fn turned_cold_within(&self, now: u64, span_ms: u64) -> Option<u64> {
        self.turned_cold_at.filter(|at| at + span_ms > now).map(|_| self.cold_until)
    }

    pub(crate) fn is_cold(&self, now: u64) -> bool {
        now < self.cold_until || now < self.suspect_until
    }

    /// Milliseconds for which it counts as cold.
    pub(crate) fn cold_for_ms(&self, now: u64) -> u64 {
        self.cold_until.max(self.suspect_until).saturating_sub(now)
    }

    pub(crate) fn may_be_sent_to(&self) -> bool {
        !self.retired && !self.evacuated && self.unlisted_since.is_none()
    }

    /// Open or resting, and not cold: counted as ready in its region.
    pub(crate) fn is_ready(&self, now: u64) -> bool {
        self.may_be_sent_to()
            && now >= self.out_of_reach_until
            && now >= self.blamed_until
            && !self.health.is_resting(now, self.unanswered)
    }

    /// `bears` is the rate that the service's cold instances bear, 0 for no bound.
    pub(crate) fn standing(&self, now: u64, bears: f64, pace: Option<&ColdPace>) -> Standing {
        if !self.may_be_sent_to() {
            return Standing::Closed;
        }
        if now < self.out_of_reach_until {
            return Standing::Down;
        }
        let resting = now < self.blamed_until || self.health.is_resting(now, self.unanswered);
        if bears > 0.0 && self.is_cold(now) {
            let room = pace.is_some_and(|pace| self.cold_share.has_room(now, pace));
            return if room && !resting { Standing::ColdOpen } else { Standing::ColdSpent };
        }
        if self.health.is_down(now, self.unanswered) {
            Standing::Down
        } else if resting {
            Standing::Resting
        } else if self.is_full() {
            Standing::Full
        } else {
            Standing::Open
        }
    }

    fn is_full(&self) -> bool {
        let most = self.slots + (self.slots / QUEUED_PART).max(LEAST_QUEUED);
        self.slots > 0 && self.in_flight >= most
    }
}
