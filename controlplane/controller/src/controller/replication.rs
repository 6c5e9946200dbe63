//! The replica inside the controller: its inputs, and the handling of its outputs.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_replica::{Input, Message, Output, RecordWrite};

use super::Controller;
use super::event::Action;
use crate::commands::{Departure, records};
use crate::protocol_rules::ProtocolRules;

impl<R: ProtocolRules> Controller<R> {
    pub(super) fn step(&mut self, now: u64, input: Input) {
        let outputs = self.replica.handle(now, input);
        self.take_outputs(now, outputs);
    }

    pub(super) fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        if let Message::Heartbeat(heartbeat) = &message {
            let peers = heartbeat.received.iter().map(|peer| peer.endpoint);
            self.known_peers.record(now, peers);
            self.contact.observe_remote_position(heartbeat.report.committed);
        }
        self.step(now, Input::Message { from, message });
        if !self.contact.is_in_quorum() {
            self.update_quorum(now);
        }
    }

    pub(super) fn take_outputs(&mut self, now: u64, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let payload = Bytes::from(message.encode());
                    self.actions.push(Action::SendPeer { to, kind: FrameKind::Replica, payload });
                }
                Output::Persist { token, write } => self.actions.push(Action::Persist { token, write }),
                Output::Reply { ticket, result } => self.handle_reply(now, ticket, result),
                Output::Committed { writes, .. } => self.committed(now, &writes),
                Output::RecordsReplaced => self.replaced(now),
            }
        }
    }

    fn committed(&mut self, now: u64, writes: &[RecordWrite]) {
        for write in writes {
            if let Some((instance, departure)) = records::departure_in(write) {
                self.departed(instance, departure);
            }
        }
        self.publish(now);
    }

    fn replaced(&mut self, now: u64) {
        self.take_departures();
        self.publish(now);
    }

    /// Applies all committed departures to the registry, the newest last: these are sent to balancers for the longest.
    pub(super) fn take_departures(&mut self) {
        let records = self.replica.committed_records();
        let sequence = |instance: &str| {
            records.get(&format!("{}{instance}", records::DRAINED_PREFIX)).map_or(0, |record| record.sequence)
        };
        let mut departures: Vec<(u64, String, Departure)> = records::departures(records)
            .map(|(instance, departure)| (sequence(instance), instance.to_owned(), departure))
            .collect();
        departures.sort_by_key(|(sequence, ..)| *sequence);
        for (_, instance, departure) in departures {
            self.departed(&instance, departure);
        }
    }

    fn departed(&mut self, instance: &str, departure: Departure) {
        match departure {
            Departure::Draining => self.registry.mark_draining(instance),
            Departure::Deregistered => self.registry.mark_deregistered(instance),
        }
    }

    pub(super) fn persisted(&mut self, now: u64, token: u64, log_bytes: usize) {
        self.step(now, Input::Persisted { token });
        if self.compacting {
            return;
        }
        if let Some(state) = self.replica.due_checkpoint(log_bytes) {
            self.compacting = true;
            self.actions.push(Action::Compact { state });
        }
    }

    /// Hands the roles of this controller over to others.
    pub(super) fn shut_down(&mut self, now: u64) {
        self.shutting_down = true;
        self.step(now, Input::Shutdown);
        self.send_links(now);
    }
}
