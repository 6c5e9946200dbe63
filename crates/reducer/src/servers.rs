//! The servers that the list has named, and the small indices that stand for them.

use std::collections::HashMap;
use std::net::SocketAddr;

use whinspindle::host::{Entry, Standing};
use whinspindle_messages::list::ListNews;

pub struct Servers {
    index: HashMap<String, usize>,
    known: Vec<Known>,
    zones: Vec<String>,
    kinds: Vec<String>,
    has_list: bool,
}

struct Known {
    address: Option<SocketAddr>,
    ready: bool,
}

/// The index of a name; one that is new gets the next.
fn index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl Servers {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Servers { index: HashMap::new(), known: Vec::new(), zones, kinds, has_list: false }
    }

    /// Takes the news in and turns it into entries for the decisions.
    pub fn learn(&mut self, news: &ListNews) -> Vec<Entry> {
        if news.whole {
            self.has_list = true;
            self.known.iter_mut().for_each(|known| known.ready = false);
        }
        let mut entries = Vec::with_capacity(news.servers.len());
        for listed in &news.servers {
            let next = self.known.len();
            let server = *self.index.entry(listed.name.clone()).or_insert(next);
            if server == next {
                self.known.push(Known { address: None, ready: false });
            }
            let known = &mut self.known[server];
            known.address = listed.address.or(known.address);
            known.ready = listed.standing == Standing::Ready && known.address.is_some();
            entries.push(Entry {
                server,
                zone: index(&mut self.zones, &listed.zone),
                cell: listed.cell,
                kind: index(&mut self.kinds, &listed.kind),
                standing: listed.standing,
                size: listed.size,
                born: listed.born,
            });
        }
        entries
    }

    pub fn address(&self, server: usize) -> Option<SocketAddr> {
        self.known.get(server)?.address
    }

    pub fn is_ready(&self, server: usize) -> bool {
        self.known.get(server).is_some_and(|known| known.ready)
    }

    pub fn has_list(&self) -> bool {
        self.has_list
    }
}
