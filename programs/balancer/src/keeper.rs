//! The list of servers, kept on disk over a restart. A thread of its own writes it, so that nothing waits for
//! the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use whinspindle_endpoint_cache::{Ages, Trust};
use whinspindle_operator_file::Keep;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_rate_limited_log::log_line;
use whinspindle_record_store::RecordStore;

const LIST: &str = "list";
/// Between two writes at the least: so many an hour at most, however often the list changes.
const PACE: Duration = Duration::from_secs(2);

pub struct Keeper {
    bytes: SyncSender<Vec<u8>>,
    /// What was handed over last, and when. A list that stays the same is written anew before it is no longer
    /// fresh, since its age tells how far it is believed.
    last: Option<(Vec<ListedServer>, u64)>,
    renewed: u64,
}

/// Opens the store and reads what was kept, for a process that starts at `now` (Unix microseconds). Without a
/// store the balancer does without: it is told, and nothing else is lost.
pub fn open(keep: &Keep, now: u64) -> (Option<Keeper>, Option<(EndpointUpdate, Trust)>) {
    let store = match RecordStore::open(&keep.folder) {
        Ok(store) => store,
        Err(fault) => {
            log_line!("keep", "the list is not kept: {fault}");
            return (None, None);
        }
    };
    let ages = Ages { fresh: keep.fresh, old: keep.old };
    let recalled = store.read(LIST).and_then(|bytes| whinspindle_endpoint_cache::restore(&bytes, now, &ages));
    let known = recalled.map(|(update, trust)| {
        log_line!("keep", "{} servers are remembered, {trust}", update.servers.len());
        (update, trust)
    });
    let (bytes, taken) = sync_channel(1);
    let spawned = thread::Builder::new().name("keeper".to_string()).spawn(move || write(&store, &taken));
    if let Err(fault) = spawned {
        log_line!("keep", "the list is not kept: {fault}");
        return (None, known);
    }
    (Some(Keeper { bytes, last: None, renewed: keep.fresh / 2 }), known)
}

fn write(store: &RecordStore, taken: &Receiver<Vec<u8>>) {
    while let Ok(bytes) = taken.recv() {
        if let Err(fault) = store.write(LIST, &bytes) {
            log_line!("keep", "the list is not kept: {fault}");
        }
        thread::sleep(PACE);
    }
}

impl Keeper {
    /// The list as it stands at `now` (Unix microseconds). What comes while the disk is busy is handed over
    /// at the next call. Guards against a list that was lost: nothing takes the place of what is kept.
    pub fn keep(&mut self, servers: Vec<ListedServer>, now: u64) {
        let known = self.last.as_ref().is_some_and(|(last, at)| *last == servers && now < at + self.renewed);
        if servers.is_empty() || known {
            return;
        }
        let bytes = whinspindle_endpoint_cache::encode(&servers, 0, now);
        if !matches!(self.bytes.try_send(bytes), Err(TrySendError::Full(_))) {
            self.last = Some((servers, now));
        }
    }
}
