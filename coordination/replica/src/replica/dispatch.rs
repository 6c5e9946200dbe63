//! Dispatch of inputs, messages and timers to the parts of the protocol.

use std::net::SocketAddr;

use super::Replica;
use crate::application::Application;
use crate::input::Input;
use crate::message::Message;
use crate::output::{Output, Reply};
use crate::protocol_rules::ProtocolRules;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Processes one input. Returns the outputs, which must be carried out in order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Submit { ticket, command } => {
                self.submissions.add(now, ticket, command);
                self.send_submissions(now);
            }
            Input::Persisted { token } => self.on_persisted(now, token),
            Input::PersistFailed { token } => self.disk.fail_write(now, token),
            Input::DeclareLost { endpoints } => self.declare_lost(now, &endpoints),
            Input::Shutdown => {
                self.is_shutting_down = true;
                self.send_heartbeats(now);
            }
        }
        self.advance(now);
        std::mem::take(&mut self.outputs)
    }

    /// Performs the follow-up work of an input, and requests the next write.
    pub(super) fn advance(&mut self, now: u64) {
        if self.is_started {
            self.advance_chain(now);
            while let Some(message) = self.inbox.pop_front() {
                self.receive(now, self.settings.endpoint, message);
                self.advance_chain(now);
            }
        }
        let state = &self.state;
        if let Some((token, write)) = self.disk.next_write(now, || state.encode()) {
            self.outputs.push(Output::Persist { token, write });
        }
    }

    /// Performs time-based work.
    fn tick(&mut self, now: u64) {
        for (ticket, error) in self.submissions.take_expired(now, &self.settings.timing) {
            self.outputs.push(Output::Reply { ticket, result: Err(error) });
        }
        if !self.is_started {
            return;
        }
        let is_stalled = self.is_disk_stalled(now);
        let has_stall_changed = is_stalled != self.was_stalled;
        self.was_stalled = is_stalled;
        if has_stall_changed || now >= self.heartbeat_due_at {
            self.send_heartbeats(now);
        }
        self.peers.remove_silent(now);
        self.update_majority_contact(now);
        self.update_lag(now);
        self.tick_resume(now);
        self.tick_catch_up(now);
        self.tick_view_change(now);
        self.send_submissions(now);
    }

    /// Dispatches a message.
    fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        if !self.is_started {
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            Message::Prepare { voter, ballot, known_view } => {
                self.on_prepare(now, from, voter, ballot, known_view)
            }
            Message::Promise { voter, ballot, accepted, report } => {
                self.on_promise(now, voter, ballot, accepted.map(|accepted| *accepted), report);
            }
            Message::Accept { voter, ballot, view } => self.on_accept(now, from, voter, ballot, view),
            Message::Accepted { voter, ballot } => self.on_accepted(now, voter, ballot),
            Message::Rejected { ballot, promised } => self.on_rejected(now, ballot, promised),
            Message::VoterLost { voter, ballot } => self.on_voter_lost(now, voter, ballot),
            Message::Decided(decided) => {
                self.adopt(now, decided);
                self.send_submissions(now);
            }
            Message::Submit { origin, command } => self.on_submit(origin, &command),
            Message::Replied { start_id, ticket, sequence, answer } => {
                self.on_replied(start_id, ticket, Reply { sequence, answer });
            }
            Message::Append { view, entries, reads } => self.on_append(now, from, view, entries, reads),
            Message::Acknowledge { view, last, committed } => {
                self.on_acknowledge(now, from, view, last, committed);
            }
            Message::Resume { view, state } => self.on_resume(now, from, view, &state),
            Message::Synchronize { view, transfer } => self.on_synchronize(from, view, transfer),
            Message::Pull { committed, digests } => self.on_pull(from, committed, &digests),
            Message::Learn { view, transfer } => self.on_learn(view, transfer),
        }
    }

    /// Sends a message. A message to this replica itself is put into the inbox.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.settings.endpoint {
            self.inbox.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }
}
