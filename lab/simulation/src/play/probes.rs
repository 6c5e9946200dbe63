//! Probes of balancers, there and back.

use super::Fleet;
use super::event::Event;

impl Fleet<'_> {
    pub(super) fn probe(&mut self, node: usize, server: usize) {
        self.tally.price.probes += 1;
        let (tier, incarnation) = (self.nodes[node].tier, self.nodes[node].incarnation);
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let way = self.links.transit_time(self.nodes[node].zone, self.tiers[tier].hosts[place].zone);
        match way {
            Some(way) => self.queue.put(self.now + way, Event::ProbeAt(node, incarnation, server)),
            None => {
                let lost = self.scenario.tiers[tier].connections.time_out;
                self.queue.put(self.now + lost, Event::Probed(node, incarnation, server, false, None));
            }
        }
    }

    pub(super) fn probe_at(&mut self, node: usize, incarnation: u32, server: usize) {
        let tier = self.nodes[node].tier;
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let host = &mut self.tiers[tier].hosts[place];
        let up = host.server == server && host.machine.is_up();
        let says = up && !host.machine.silent && !host.machine.hung && !host.machine.paused;
        let report = if says { host.machine.report(self.now) } else { None };
        let (from, to) = (host.zone, self.nodes[node].zone);
        let lost = self.scenario.tiers[tier].connections.time_out;
        let back = if says || !up { self.links.transit_time(from, to) } else { None };
        let at = self.now + back.unwrap_or(lost);
        self.queue.put(at, Event::Probed(node, incarnation, server, says && back.is_some(), report));
    }
}
