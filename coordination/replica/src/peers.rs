//! Failure detection by heartbeats.
//!
//! A peer is *live* while its heartbeats arrive. It is *connected* while it also reports that it receives
//! the heartbeats of this replica. Times are in milliseconds of the caller's clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::message::{Heartbeat, ReceivedHeartbeat};
use crate::settings::Timing;
use crate::view::{Member, View};

/// A peer is removed after this many suspicion time-outs without a heartbeat.
const REMOVAL_TIMEOUT_FACTOR: u64 = 10;

/// The state of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The newest heartbeat received from the peer.
    pub heartbeat: Heartbeat,
    /// When the newest heartbeat arrived.
    pub received_at: u64,
    /// Since when heartbeats have arrived without an interruption.
    pub steady_since: u64,
    /// When the peer last reported that it receives heartbeats from this replica.
    acknowledged_at: Option<u64>,
    /// When this replica sent the newest heartbeat that the peer has echoed. The echoing heartbeat was
    /// written later.
    confirmed_at: Option<u64>,
}

/// All peers from which heartbeats have arrived.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The endpoint of this replica.
    endpoint: SocketAddr,
    /// The start ID of this process.
    start_id: u64,
    /// The time-outs.
    timing: Timing,
    /// When this replica started. The silence of a peer is counted from this time at the earliest.
    started_at: u64,
    /// The state of each peer.
    by_endpoint: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Creates the state without any peers.
    pub fn new(endpoint: SocketAddr, start_id: u64, timing: Timing, now: u64) -> Peers {
        Peers { endpoint, start_id, timing, started_at: now, by_endpoint: BTreeMap::new() }
    }

    /// Records a heartbeat. Returns whether the peer is new or has restarted.
    ///
    /// `contact_time` returns the time of the last confirmed contact, given when this replica sent a
    /// heartbeat and when the echo of it arrived.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        from: SocketAddr,
        heartbeat: Heartbeat,
        contact_time: fn(u64, u64) -> u64,
    ) -> bool {
        let receives_own_heartbeats = heartbeat.receives_from(self.endpoint);
        let echo = heartbeat.received.iter().find(|received| self.is_own(received));
        let confirmed_at = echo.map(|received| contact_time(received.sent_at, now));
        let previous = self.by_endpoint.get(&from);
        let is_new = previous.is_none_or(|peer| peer.heartbeat.start_id != heartbeat.start_id);
        let silence = previous.map_or(u64::MAX, |peer| now.saturating_sub(peer.received_at));
        let is_steady = !is_new && silence <= self.timing.suspicion_timeout_ms;
        let steady_since = previous.filter(|_| is_steady).map_or(now, |peer| peer.steady_since);
        let acknowledged_before = previous.filter(|_| !is_new).and_then(|peer| peer.acknowledged_at);
        let acknowledged_at = if receives_own_heartbeats { Some(now) } else { acknowledged_before };
        let confirmed_before = previous.filter(|_| !is_new).and_then(|peer| peer.confirmed_at);
        let confirmed_at = confirmed_at.max(confirmed_before);
        self.by_endpoint
            .insert(from, Peer { heartbeat, received_at: now, steady_since, acknowledged_at, confirmed_at });
        is_new
    }

    /// Whether a newer heartbeat of the peer has already arrived, so that this one was delayed or reordered.
    pub fn is_outdated(&self, from: SocketAddr, heartbeat: &Heartbeat) -> bool {
        let newest = self.get(from).map(|peer| &peer.heartbeat);
        newest
            .is_some_and(|newest| newest.start_id == heartbeat.start_id && newest.sent_at > heartbeat.sent_at)
    }

    /// Whether a heartbeat that a peer echoes was sent by this process.
    fn is_own(&self, received: &ReceivedHeartbeat) -> bool {
        received.endpoint == self.endpoint && received.start_id == self.start_id
    }

    /// Removes peers that have been silent for the removal time-out.
    pub fn remove_silent(&mut self, now: u64) {
        let removal_timeout_ms = REMOVAL_TIMEOUT_FACTOR * self.timing.suspicion_timeout_ms;
        self.by_endpoint.retain(|_, peer| now <= peer.received_at + removal_timeout_ms);
    }

    /// The state of the peer at an endpoint.
    pub fn get(&self, endpoint: SocketAddr) -> Option<&Peer> {
        self.by_endpoint.get(&endpoint)
    }

    /// All peers, in the order of their endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.by_endpoint.iter()
    }

    /// For how long no heartbeat has arrived from an endpoint, in milliseconds.
    pub fn silence_ms(&self, now: u64, endpoint: SocketAddr) -> u64 {
        let received_at =
            self.get(endpoint).map_or(self.started_at, |peer| peer.received_at.max(self.started_at));
        now.saturating_sub(received_at)
    }

    /// Whether heartbeats arrive from an endpoint.
    pub fn is_live(&self, now: u64, endpoint: SocketAddr) -> bool {
        self.get(endpoint).is_some() && self.silence_ms(now, endpoint) <= self.timing.suspicion_timeout_ms
    }

    /// Whether heartbeats arrive in both directions between this replica and an endpoint.
    pub fn is_connected(&self, now: u64, endpoint: SocketAddr) -> bool {
        let acknowledged_at = self.get(endpoint).and_then(|peer| peer.acknowledged_at);
        self.is_live(now, endpoint)
            && acknowledged_at.is_some_and(|at| now <= at + self.timing.suspicion_timeout_ms)
    }

    /// Whether the peer has echoed a heartbeat that this replica sent within the contact lifetime.
    ///
    /// A heartbeat that was delayed by a partition, or while this process did not run, does not confirm
    /// contact.
    pub fn is_confirmed(&self, now: u64, endpoint: SocketAddr) -> bool {
        let confirmed_at = self.get(endpoint).and_then(|peer| peer.confirmed_at);
        confirmed_at.is_some_and(|at| now <= at + self.timing.contact_lifetime_ms)
    }

    /// Whether the peer is suspected to have failed, because it is silent or does not receive the
    /// heartbeats of this replica.
    pub fn is_suspected(&self, now: u64, endpoint: SocketAddr) -> bool {
        if self.silence_ms(now, endpoint) > self.timing.suspicion_timeout_ms {
            return true;
        }
        let Some(peer) = self.get(endpoint) else { return false };
        let waiting_since = peer.acknowledged_at.unwrap_or(peer.steady_since.max(self.started_at));
        now > waiting_since + self.timing.suspicion_timeout_ms
    }

    /// The newest heartbeats of the live peers, to echo them.
    pub fn live_heartbeats(&self, now: u64) -> Vec<ReceivedHeartbeat> {
        let live = self.by_endpoint.iter().filter(|(endpoint, _)| self.is_live(now, **endpoint));
        let newest = live.map(|(endpoint, peer)| ReceivedHeartbeat {
            endpoint: *endpoint,
            start_id: peer.heartbeat.start_id,
            sent_at: peer.heartbeat.sent_at,
        });
        newest.collect()
    }

    /// Whether a connected peer receives heartbeats from this endpoint.
    pub fn is_live_at_connected_peer(&self, now: u64, endpoint: SocketAddr) -> bool {
        let receives_from = |(other, peer): (&SocketAddr, &Peer)| {
            *other != endpoint && self.is_connected(now, *other) && peer.heartbeat.receives_from(endpoint)
        };
        self.by_endpoint.iter().any(receives_from)
    }

    /// Whether two peers report that they receive heartbeats from each other.
    pub fn are_mutually_connected(&self, first: SocketAddr, second: SocketAddr) -> bool {
        let receives_from = |from: SocketAddr, to: SocketAddr| {
            self.get(from).is_some_and(|peer| peer.heartbeat.receives_from(to))
        };
        receives_from(first, second) && receives_from(second, first)
    }

    /// Whether a different incarnation uses the endpoint of a member, so that the member's durable state is
    /// lost.
    pub fn has_new_incarnation(&self, member: &Member) -> bool {
        let peer = self.get(member.endpoint);
        peer.is_some_and(|peer| peer.heartbeat.incarnation != member.voter.incarnation)
    }

    /// The newest heartbeat of a voter; `None` unless the voter is connected and its disk is not stalled.
    pub fn healthy_heartbeat(&self, now: u64, view: &View, voter: Voter) -> Option<&Heartbeat> {
        let member = view.member(voter)?;
        let heartbeat = &self.get(member.endpoint)?.heartbeat;
        let is_healthy = self.is_connected(now, member.endpoint) && !self.has_new_incarnation(member);
        (is_healthy && !heartbeat.is_stalled).then_some(heartbeat)
    }
}
