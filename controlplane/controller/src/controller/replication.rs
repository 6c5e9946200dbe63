//! The inputs of the replica inside the controller, and the handling of its outputs.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_replica::{Input, Message, Output, RecordWrite};

use super::Controller;
use super::event::Action;
use crate::commands::{Departure, records};
use crate::protocol_rules::ProtocolRules;

impl<R: ProtocolRules> Controller<R> {
    pub(super) fn step_replica(&mut self, now: u64, input: Input) {
        let outputs = self.replica.handle(now, input);
        self.handle_outputs(now, outputs);
    }

    pub(super) fn handle_replica_message(&mut self, now: u64, from: SocketAddr, message: Message) {
        if let Message::Heartbeat(heartbeat) = &message {
            let mentioned_peers = heartbeat.received.iter().map(|peer| peer.endpoint);
            self.known_peers.record(now, mentioned_peers);
            self.quorum_contact.observe_remote_position(heartbeat.report.committed);
        }
        self.step_replica(now, Input::Message { from, message });
        if !self.quorum_contact.is_in_quorum() {
            self.update_quorum(now);
        }
    }

    pub(super) fn handle_outputs(&mut self, now: u64, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let payload = Bytes::from(message.encode());
                    self.actions.push(Action::SendPeer { to, kind: FrameKind::Replica, payload });
                }
                Output::Persist { token, write } => self.actions.push(Action::Persist { token, write }),
                Output::Reply { ticket, result } => self.handle_reply(now, ticket, result),
                Output::Committed { writes, .. } => self.handle_committed(now, &writes),
                Output::RecordsReplaced => self.handle_replaced(now),
            }
        }
    }

    fn handle_committed(&mut self, now: u64, writes: &[RecordWrite]) {
        for write in writes {
            if let Some((instance, departure)) = records::departure_in(write) {
                self.apply_departure(instance, departure);
            }
        }
        self.observe_evacuations(now);
        self.publish(now);
    }

    fn handle_replaced(&mut self, now: u64) {
        self.apply_departures();
        self.observe_evacuations(now);
        self.publish(now);
    }

    /// Records which evacuations this controller knows.
    pub(super) fn observe_evacuations(&mut self, now: u64) {
        for (zone, sequence) in records::evacuation_sequences(self.replica.committed_records()) {
            self.evacuation_admission.observe_record(now, zone, sequence);
        }
    }

    /// Applies all committed departures to the registry, oldest first. The newest ones are then sent to
    /// balancers for the longest time.
    pub(super) fn apply_departures(&mut self) {
        let records = self.replica.committed_records();
        let sequence = |instance: &str| {
            records.get(&format!("{}{instance}", records::DRAINED_PREFIX)).map_or(0, |record| record.sequence)
        };
        let mut departures: Vec<(u64, String, Departure)> = records::departures(records)
            .map(|(instance, departure)| (sequence(instance), instance.to_owned(), departure))
            .collect();
        departures.sort_by_key(|(sequence, ..)| *sequence);
        for (_, instance, departure) in departures {
            self.apply_departure(&instance, departure);
        }
    }

    fn apply_departure(&mut self, instance: &str, departure: Departure) {
        match departure {
            Departure::Draining => self.registry.mark_draining(instance),
            Departure::Deregistered => self.registry.mark_deregistered(instance),
        }
    }

    pub(super) fn handle_persisted(&mut self, now: u64, token: u64, log_bytes: usize) {
        self.step_replica(now, Input::Persisted { token });
        if self.is_compacting {
            return;
        }
        if let Some(state) = self.replica.due_checkpoint(log_bytes) {
            self.is_compacting = true;
            self.actions.push(Action::Compact { state });
        }
    }

    /// Starts handing over the roles of this controller to others.
    pub(super) fn shut_down(&mut self, now: u64) {
        self.shutting_down = true;
        self.step_replica(now, Input::Shutdown);
        self.send_links(now);
    }
}
