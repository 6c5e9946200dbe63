//! Failure detection by heartbeats.
//!
//! A peer is *live* while its heartbeats arrive, and *connected* while it also reports that it receives those of this
//! replica. Times are in milliseconds of the caller's clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::message::{Heartbeat, ReceivedHeartbeat};
use crate::settings::Timing;
use crate::view::{Member, View};

/// A peer is removed once it was silent for this many suspicion time-outs.
const REMOVAL_SUSPICIONS: u64 = 10;

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that arrived.
    pub received_at: u64,
    /// Since when its heartbeats have arrived without a pause.
    pub steady_since: u64,
    /// When it last reported that it receives heartbeats of this replica.
    acknowledged_at: Option<u64>,
    /// When this replica sent the newest heartbeat that the peer has answered: all that the peer has said since is newer.
    confirmed_at: Option<u64>,
}

/// All peers that heartbeats have arrived from.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The endpoint of this replica.
    endpoint: SocketAddr,
    /// The start of this process.
    start_id: u64,
    /// The time-outs.
    timing: Timing,
    /// The silence of a peer counts from here at the earliest.
    since: u64,
    /// What is known of each peer.
    known: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// No peer is known yet.
    pub fn new(endpoint: SocketAddr, start_id: u64, timing: Timing, now: u64) -> Peers {
        Peers { endpoint, start_id, timing, since: now, known: BTreeMap::new() }
    }

    /// Records a heartbeat. Returns whether the peer was restarted, or is new.
    ///
    /// `contact` returns from when contact counts, by the times at which this replica sent a heartbeat and the answer to it
    /// arrived.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        from: SocketAddr,
        heartbeat: Heartbeat,
        contact: fn(u64, u64) -> u64,
    ) -> bool {
        let acknowledges_us = heartbeat.receives_from(self.endpoint);
        let answered = heartbeat.received.iter().find(|received| self.is_own(received));
        let confirmed_at = answered.map(|received| contact(received.sent_at, now));
        let before = self.known.get(&from);
        let is_new = before.is_none_or(|peer| peer.heartbeat.start_id != heartbeat.start_id);
        let pause = before.map_or(u64::MAX, |peer| now.saturating_sub(peer.received_at));
        let is_steady = !is_new && pause <= self.timing.suspicion_timeout_ms;
        let steady_since = before.filter(|_| is_steady).map_or(now, |peer| peer.steady_since);
        let acknowledged_before = before.filter(|_| !is_new).and_then(|peer| peer.acknowledged_at);
        let acknowledged_at = if acknowledges_us { Some(now) } else { acknowledged_before };
        let confirmed_before = before.filter(|_| !is_new).and_then(|peer| peer.confirmed_at);
        let confirmed_at = confirmed_at.max(confirmed_before);
        self.known
            .insert(from, Peer { heartbeat, received_at: now, steady_since, acknowledged_at, confirmed_at });
        is_new
    }

    /// Whether a newer heartbeat of the peer has arrived already: this one was delayed.
    pub fn is_overtaken(&self, from: SocketAddr, heartbeat: &Heartbeat) -> bool {
        let newest = self.get(from).map(|peer| &peer.heartbeat);
        newest
            .is_some_and(|newest| newest.start_id == heartbeat.start_id && newest.sent_at > heartbeat.sent_at)
    }

    /// Whether a heartbeat that a peer has received was sent by this process.
    fn is_own(&self, received: &ReceivedHeartbeat) -> bool {
        received.endpoint == self.endpoint && received.start_id == self.start_id
    }

    /// Removes peers that have been silent for long.
    pub fn remove_silent(&mut self, now: u64) {
        let longest = REMOVAL_SUSPICIONS * self.timing.suspicion_timeout_ms;
        self.known.retain(|_, peer| now <= peer.received_at + longest);
    }

    /// What is known of the peer at an endpoint.
    pub fn get(&self, endpoint: SocketAddr) -> Option<&Peer> {
        self.known.get(&endpoint)
    }

    /// All peers, in the order of their endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.known.iter()
    }

    /// For how long no heartbeat has arrived.
    pub fn silent_for(&self, now: u64, endpoint: SocketAddr) -> u64 {
        let received_at = self.get(endpoint).map_or(self.since, |peer| peer.received_at.max(self.since));
        now.saturating_sub(received_at)
    }

    /// Whether heartbeats arrive.
    pub fn is_live(&self, now: u64, endpoint: SocketAddr) -> bool {
        self.get(endpoint).is_some() && self.silent_for(now, endpoint) <= self.timing.suspicion_timeout_ms
    }

    /// Whether heartbeats arrive in both directions.
    pub fn is_connected(&self, now: u64, endpoint: SocketAddr) -> bool {
        let acknowledged_at = self.get(endpoint).and_then(|peer| peer.acknowledged_at);
        self.is_live(now, endpoint)
            && acknowledged_at.is_some_and(|at| now <= at + self.timing.suspicion_timeout_ms)
    }

    /// Whether the newest heartbeat answers one that this replica sent a short time ago.
    ///
    /// What was delayed by a partition, or while this process did not run, proves nothing.
    pub fn is_confirmed(&self, now: u64, endpoint: SocketAddr) -> bool {
        let confirmed_at = self.get(endpoint).and_then(|peer| peer.confirmed_at);
        confirmed_at.is_some_and(|at| now <= at + self.timing.contact_lifetime_ms)
    }

    /// Whether the peer has failed, as far as can be told: it is silent, or does not receive heartbeats.
    pub fn is_suspected(&self, now: u64, endpoint: SocketAddr) -> bool {
        if self.silent_for(now, endpoint) > self.timing.suspicion_timeout_ms {
            return true;
        }
        let Some(peer) = self.get(endpoint) else { return false };
        let waits_since = peer.acknowledged_at.unwrap_or(peer.steady_since.max(self.since));
        now > waits_since + self.timing.suspicion_timeout_ms
    }

    /// The newest heartbeats of the live peers.
    pub fn received_recently(&self, now: u64) -> Vec<ReceivedHeartbeat> {
        let live = self.known.iter().filter(|(endpoint, _)| self.is_live(now, **endpoint));
        let newest = live.map(|(endpoint, peer)| ReceivedHeartbeat {
            endpoint: *endpoint,
            start_id: peer.heartbeat.start_id,
            sent_at: peer.heartbeat.sent_at,
        });
        newest.collect()
    }

    /// Whether a connected peer receives heartbeats of this endpoint.
    pub fn is_live_at_another(&self, now: u64, endpoint: SocketAddr) -> bool {
        let receives_from = |(other, peer): (&SocketAddr, &Peer)| {
            *other != endpoint && self.is_connected(now, *other) && peer.heartbeat.receives_from(endpoint)
        };
        self.known.iter().any(receives_from)
    }

    /// Whether two peers report that they receive heartbeats from each other.
    pub fn are_mutually_connected(&self, one: SocketAddr, other: SocketAddr) -> bool {
        let receives_from = |from: SocketAddr, to: SocketAddr| {
            self.get(from).is_some_and(|peer| peer.heartbeat.receives_from(to))
        };
        receives_from(one, other) && receives_from(other, one)
    }

    /// Whether the durable state of a member is gone: another incarnation uses its endpoint.
    pub fn has_new_incarnation(&self, member: &Member) -> bool {
        let peer = self.get(member.endpoint);
        peer.is_some_and(|peer| peer.heartbeat.incarnation != member.voter.incarnation)
    }

    /// The newest heartbeat of a voter that is connected and not stalled.
    pub fn healthy_heartbeat(&self, now: u64, view: &View, voter: Voter) -> Option<&Heartbeat> {
        let member = view.member(voter)?;
        let heartbeat = &self.get(member.endpoint)?.heartbeat;
        let is_healthy = self.is_connected(now, member.endpoint) && !self.has_new_incarnation(member);
        (is_healthy && !heartbeat.is_stalled).then_some(heartbeat)
    }
}
