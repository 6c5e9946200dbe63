//! Makes one replica of a sorted map equal to another by comparing digests of ranges.

use std::collections::BTreeMap;
use std::error::Error;

use whinspindle_digests::{Change, Reconciliation, VersionedRecord, answer_question};

#[derive(Clone, Debug, PartialEq)]
struct Record {
    sequence: u64,
    value: Vec<u8>,
}

impl VersionedRecord for Record {
    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn value(&self) -> &[u8] {
        &self.value
    }
}

fn record(sequence: u64) -> Record {
    Record { sequence, value: sequence.to_string().into_bytes() }
}

fn main() -> Result<(), Box<dyn Error>> {
    let source: BTreeMap<_, _> = (0..5_000).map(|n| (format!("key/{n:05}"), record(n))).collect();
    let mut replica = source.clone();
    replica.remove("key/00017");
    replica.insert("key/04000".to_owned(), record(1));
    let mut reconciliation = Reconciliation::new();
    let mut rounds = 0;
    while let Some(question) = reconciliation.next_question(&replica) {
        let reply = answer_question(&source, &question);
        for change in reconciliation.apply(&replica, reply)? {
            match change {
                Change::Write { key, record } => _ = replica.insert(key, record),
                Change::Remove { key } => _ = replica.remove(&key),
            }
        }
        rounds += 1;
    }
    println!("equal: {}, after {rounds} round trips", replica == source);
    Ok(())
}
