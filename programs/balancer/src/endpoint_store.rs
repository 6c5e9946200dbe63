//! Persists the endpoint list, so that a restarted process can serve before discovery answers. Writes happen in a
//! thread of their own, so that no request waits for the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use whinspindle_endpoint_cache::{AgeLimits, Trust};
use whinspindle_operator_file::EndpointCacheSettings;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_rate_limited_log::log_line;
use whinspindle_record_store::RecordStore;

/// Name of the record in the store.
const LIST_RECORD: &str = "list";
/// Minimum time between two writes, however often the list changes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Hands endpoint lists to the writing thread.
pub struct EndpointStore {
    /// Encoded lists for the writing thread; holds one at most.
    bytes: SyncSender<Vec<u8>>,
    /// The list written last, and when (Unix microseconds). An unchanged list is written again before it is no
    /// longer fresh, since its age decides how far it is trusted after a restart.
    last: Option<(Vec<ListedServer>, u64)>,
    /// Microseconds after which an unchanged list is written again.
    renewal_interval: u64,
}

/// Opens the store and restores the list, for a process that starts at `now` (Unix microseconds). If the store
/// cannot be opened, that is logged and the balancer runs without it.
pub fn open(
    keep: &EndpointCacheSettings,
    now: u64,
) -> (Option<EndpointStore>, Option<(EndpointUpdate, Trust)>) {
    let store = match RecordStore::open(&keep.folder) {
        Ok(store) => store,
        Err(fault) => {
            log_line!("keep", "the list is not kept: {fault}");
            return (None, None);
        }
    };
    let ages = AgeLimits { fresh_us: keep.fresh_us, old_us: keep.old_us };
    let restored =
        store.read(LIST_RECORD).and_then(|bytes| whinspindle_endpoint_cache::restore(&bytes, now, &ages));
    let known = restored.map(|(update, trust)| {
        log_line!("keep", "{} servers are remembered, {trust}", update.servers.len());
        (update, trust)
    });
    let (bytes, taken) = sync_channel(1);
    let spawned = thread::Builder::new().name("keeper".to_string()).spawn(move || write(&store, &taken));
    if let Err(fault) = spawned {
        log_line!("keep", "the list is not kept: {fault}");
        return (None, known);
    }
    (Some(EndpointStore { bytes, last: None, renewal_interval: keep.fresh_us / 2 }), known)
}

/// Writes each received list, until the sender is gone.
fn write(store: &RecordStore, taken: &Receiver<Vec<u8>>) {
    while let Ok(bytes) = taken.recv() {
        if let Err(fault) = store.write(LIST_RECORD, &bytes) {
            log_line!("keep", "the list is not kept: {fault}");
        }
        thread::sleep(MIN_WRITE_INTERVAL);
    }
}

impl EndpointStore {
    /// Saves the list as of `now` (Unix microseconds). While the disk is busy the list is skipped until the next
    /// call. An empty list is never saved, so that it cannot replace a useful one.
    pub fn save(&mut self, servers: Vec<ListedServer>, now: u64) {
        let known =
            self.last.as_ref().is_some_and(|(last, at)| *last == servers && now < at + self.renewal_interval);
        if servers.is_empty() || known {
            return;
        }
        let bytes = whinspindle_endpoint_cache::encode(&servers, 0, now);
        if !matches!(self.bytes.try_send(bytes), Err(TrySendError::Full(_))) {
            self.last = Some((servers, now));
        }
    }
}
