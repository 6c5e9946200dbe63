//! Three replicas in one process. Messages are delivered immediately, and disk writes succeed immediately.

use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::net::SocketAddr;

use whinspindle_replica::{
    Answer, Application, Evaluation, Input, Output, RecordWrite, Records, Replica, ReplicaSettings, Timing,
    Tolerance,
};

/// The application: the command `key=value` writes a record, and the command `key` reads it.
struct KeyValue;

impl Application for KeyValue {
    fn evaluate(&self, _records: &Records, command: &[u8]) -> Evaluation {
        let command = String::from_utf8_lossy(command);
        match command.split_once('=') {
            Some((key, value)) => {
                let write = RecordWrite { key: key.to_owned(), value: Some(value.as_bytes().to_vec()) };
                Evaluation { writes: vec![write], answer: Answer::Value(b"written".to_vec()) }
            }
            None => Evaluation { writes: Vec::new(), answer: Answer::Record(command.into_owned()) },
        }
    }
}

fn settings(endpoint: SocketAddr, seeds: &[SocketAddr]) -> ReplicaSettings {
    ReplicaSettings {
        endpoint,
        zone: endpoint.ip().to_string(),
        region: "region".to_owned(),
        seeds: seeds.to_vec(),
        bootstrap: true,
        incarnation: u64::from(endpoint.port()),
        start_id: 1,
        tolerance: Tolerance::machines_only(1),
        timing: Timing::default(),
    }
}

/// The replicas and the inputs queued for them.
struct Cluster {
    replicas: BTreeMap<SocketAddr, Replica<KeyValue>>,
    inputs: VecDeque<(SocketAddr, Input)>,
    now: u64,
}

impl Cluster {
    fn process_outputs(&mut self, endpoint: SocketAddr, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.inputs.push_back((to, Input::Message { from: endpoint, message }))
                }
                Output::Persist { token, .. } => {
                    self.inputs.push_back((endpoint, Input::Persisted { token }))
                }
                Output::Reply { ticket, result } => println!("ticket {ticket} at {endpoint}: {result:?}"),
                Output::Committed { .. } | Output::RecordsReplaced => {}
            }
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += 50;
            let ticks = self.replicas.keys().map(|&endpoint| (endpoint, Input::Tick));
            self.inputs.extend(ticks.collect::<Vec<_>>());
            while let Some((endpoint, input)) = self.inputs.pop_front() {
                let Some(replica) = self.replicas.get_mut(&endpoint) else { continue };
                let outputs = replica.handle(self.now, input);
                self.process_outputs(endpoint, outputs);
            }
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let seeds: Vec<SocketAddr> = ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"]
        .iter()
        .map(|text| text.parse())
        .collect::<Result<_, _>>()?;
    let mut cluster = Cluster { replicas: BTreeMap::new(), inputs: VecDeque::new(), now: 0 };
    for &endpoint in &seeds {
        let (replica, outputs) = Replica::new(settings(endpoint, &seeds), KeyValue, (None, Vec::new()), 0)?;
        cluster.replicas.insert(endpoint, replica);
        cluster.process_outputs(endpoint, outputs);
    }
    cluster.run(1_000);
    cluster.inputs.push_back((seeds[1], Input::Submit { ticket: 1, command: b"colour=blue".to_vec() }));
    cluster.run(1_000);
    cluster.inputs.push_back((seeds[2], Input::Submit { ticket: 2, command: b"colour".to_vec() }));
    cluster.run(1_000);
    // The head is lost. The two other replicas agree on a view without it and continue.
    cluster.replicas.remove(&seeds[0]);
    cluster.run(3_000);
    cluster.inputs.push_back((seeds[2], Input::Submit { ticket: 3, command: b"colour=green".to_vec() }));
    cluster.run(1_000);
    for (endpoint, replica) in &cluster.replicas {
        println!("{endpoint}: view {}, chain of {}", replica.view().number, replica.view().chain.len());
    }
    Ok(())
}
