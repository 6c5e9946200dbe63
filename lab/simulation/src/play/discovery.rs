//! Discovery: the list of each tier's servers, and how balancers hear of it.

use whinspindle::host::{Endpoint, EndpointState};
use whinspindle_lab_model::registry::{ListUpdate, Listing, Site};
use whinspindle_lab_scenario::Scenario;

use super::Fleet;
use super::event::Event;
use super::state::Host;
use crate::rules;

/// Discovery notices after this time that a process has gone without a word.
pub(crate) const DISCOVERY_NOTICES: u64 = 2_000_000;

impl Fleet<'_> {
    pub(crate) fn tell(&mut self, node: usize, news: ListUpdate) {
        let (scenario, tier) = (self.scenario, self.nodes[node].tier);
        rules::report_listing(&mut self.checker, self.now, node, tier, &news);
        let mut entries = Vec::with_capacity(news.listings.len());
        for listing in &news.listings {
            entries.push(Endpoint {
                server: listing.server,
                key: listing.server as u64,
                zone: listing.zone,
                cell: listing.cell,
                kind: listing.kind,
                state: listing.standing,
                relative_capacity: scenario.kinds[listing.kind].listed,
                started_at: listing.started_at,
            });
            if listing.standing == EndpointState::Gone {
                self.nodes[node].kept.remove(&listing.server);
            }
        }
        self.note(7, node as u64, news.generation);
        let n = &mut self.nodes[node];
        n.generation = news.generation;
        if let Some(decider) = &mut n.decider {
            decider.list(self.now, news.is_full, &entries);
        }
    }

    /// The list of a tier has changed: each of its balancers hears of it in its own time.
    pub(crate) fn spread_news(&mut self, tier: usize) {
        let registry = &self.tiers[tier].registry;
        if registry.silent {
            return;
        }
        let (late, discovery) = (registry.delay, &self.scenario.discovery);
        for node in 0..self.nodes.len() {
            if self.nodes[node].tier == tier && self.nodes[node].up {
                let delay = self.discovery.spread(discovery.delay, discovery.spread) + late;
                let incarnation = self.nodes[node].incarnation;
                self.queue.put(self.now + delay, Event::Told(node, incarnation));
            }
        }
    }

    pub(crate) fn list(&mut self, tier: usize, place: usize, standing: EndpointState, started_at: u64) {
        let host = &self.tiers[tier].hosts[place];
        let listing = listing(self.scenario, host, place, standing, started_at);
        self.tiers[tier].registry.set(self.now, listing);
        self.spread_news(tier);
    }
}

/// How discovery lists a machine's process.
pub(crate) fn listing(
    scenario: &Scenario,
    host: &Host,
    place: usize,
    standing: EndpointState,
    started_at: u64,
) -> Listing {
    let Host { zone, kind, cell, server, .. } = *host;
    Listing::new(scenario, Site { place, zone, kind, cell }, server, standing, started_at)
}
