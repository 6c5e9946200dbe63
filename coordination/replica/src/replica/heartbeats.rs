//! Sending and handling of heartbeats.

use std::net::SocketAddr;

use super::Replica;
use crate::application::Application;
use crate::message::{Heartbeat, Message};
use crate::protocol_rules::ProtocolRules;
use crate::protocol_version::PROTOCOL_VERSION;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Sends a heartbeat to all peers.
    pub(super) fn send_heartbeats(&mut self, now: u64) {
        self.heartbeat_due_at = now + self.settings.timing.heartbeat_interval_ms;
        let heartbeat = self.heartbeat(now);
        for to in self.peer_endpoints() {
            self.send(to, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Builds the current heartbeat of this replica.
    fn heartbeat(&self, now: u64) -> Heartbeat {
        Heartbeat {
            incarnation: self.state.incarnation,
            start_id: self.settings.start_id,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            view: self.view().number,
            report: self.report(),
            sent_at: now,
            received: self.peers.live_heartbeats(now),
            is_fenced: self.state.is_fenced(),
            is_stalled: self.is_disk_stalled(now),
            is_shutting_down: self.is_shutting_down,
            protocol: PROTOCOL_VERSION,
        }
    }

    /// Handles a heartbeat, and immediately answers the first heartbeat of a process.
    pub(super) fn on_heartbeat(&mut self, now: u64, from: SocketAddr, heartbeat: Heartbeat) {
        if self.peers.is_outdated(from, &heartbeat) {
            return;
        }
        let number = self.view().number;
        let has_older_view = heartbeat.view < number;
        if heartbeat.view == number && self.session.as_ref().is_some_and(|session| session.is_complete) {
            // An acknowledgement may have been lost. A complete log contains all entries committed up to
            // this view.
            self.commit_up_to(heartbeat.report.committed);
        }
        let has_started = self.peers.record_heartbeat(now, from, heartbeat, Rules::contact_time);
        if has_older_view {
            let decided = self.state.decided.clone();
            self.send(from, Message::Decided(decided));
        }
        if has_started {
            // An immediate answer confirms contact one heartbeat interval earlier.
            let heartbeat = self.heartbeat(now);
            self.send(from, Message::Heartbeat(heartbeat));
            self.on_peer_restart(now, from);
        }
    }

    /// Whether a majority of the voters is healthy and in contact with this replica.
    pub(super) fn is_connected_to_majority(&self, now: u64) -> bool {
        let view = self.view();
        let own_voter = self.own_voter();
        view.has_majority(|voter| {
            own_voter == Some(voter) || self.peers.healthy_heartbeat(now, view, voter).is_some()
        })
    }

    /// Records whether this replica is in contact with a majority. When contact is lost, makes the known
    /// committed position durable, because after a restart no other replica may be reachable to report it.
    pub(super) fn update_majority_contact(&mut self, now: u64) {
        let has_contact = self.is_connected_to_majority(now);
        let had_contact = std::mem::replace(&mut self.has_majority_contact, has_contact);
        if had_contact && !has_contact {
            self.disk.flush();
        }
    }

    /// Records since when this replica has been behind another one.
    pub(super) fn update_lag(&mut self, now: u64) {
        self.behind_since = self.is_behind().then(|| self.behind_since.unwrap_or(now));
    }
}
