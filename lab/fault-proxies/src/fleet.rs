//! The processes: each with a configuration, an operator's file, a store and a log of its own.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::relay::Relays;

/// What a command of `whinspindle fleet` said, and its exit code.
#[derive(Debug)]
pub struct Command {
    pub code: i32,
    pub said: String,
}

/// A fleet on loopback. Its processes end with it.
pub struct Stand {
    program: PathBuf,
    pub folder: PathBuf,
    pub listens: Vec<SocketAddr>,
    pub relays: Relays,
    peer_listens: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    /// The lines of `[fleet]` that are alike for all.
    fleet: String,
    /// Longest body that each member's settings allow a route, so that one may differ; none for all.
    pub statement_timeout_ms: Vec<u64>,
    /// Whether the platform's configuration tells a member the list of servers; discovery never answers here.
    pub known: Vec<bool>,
}

/// Stands made by this process, so that each has addresses of its own.
static STANDS: AtomicU16 = AtomicU16::new(0);

/// The number of a further stand of this process.
pub fn next_stand() -> u16 {
    STANDS.fetch_add(1, Ordering::Relaxed)
}

/// An address of the loopback range that no other process is given: ports of 127.0.0.1 that were free a
/// moment ago may be another's when a member is started again.
pub fn address(stand: u16, member: usize, port: u16) -> SocketAddr {
    let id = process::id();
    let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, 1 + member as u8];
    SocketAddr::from((ip, 20_000 + stand * 100 + port))
}

impl Stand {
    /// `fleet` has the lines of `[fleet]` beside socket and store.
    pub fn new(program: &Path, name: &str, members: usize, fleet: &str) -> Stand {
        let folder = std::env::temp_dir().join(format!("whinspindle-{name}-{}", process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let stand = next_stand();
        let listens = (0..members).map(|member| address(stand, member, 0)).collect();
        let peer_listens: Vec<SocketAddr> = (0..members).map(|member| address(stand, member, 1)).collect();
        Stand {
            program: program.to_path_buf(),
            folder,
            listens,
            relays: Relays::new(&peer_listens, 7).expect("relays"),
            peer_listens,
            children: (0..members).map(|_| None).collect(),
            fleet: fleet.to_string(),
            statement_timeout_ms: vec![60_000; members],
            known: vec![true; members],
        }
    }

    pub fn members(&self) -> usize {
        self.listens.len()
    }

    fn configuration(&self, member: usize) -> Value {
        // Nobody listens there.
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let listed = json!({"instanceId": "s-1", "hostPort": nobody.to_string(), "zone": "a", "machineType": "m",
            "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0});
        let known = json!({"generation": 1, "reset": true, "instances": [listed]});
        let known = if self.known[member] { known } else { Value::Null };
        let timeout = self.statement_timeout_ms[member] * 1_000_000;
        json!({"name": format!("n{member}"), "listen": self.listens[member].to_string(),
            "discovery": nobody.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": self.peer_listens[member].to_string(),
            "peers": self.relays.peers_of(member).iter().map(ToString::to_string).collect::<Vec<_>>(),
            "known": known,
            "settings": {"balancers": self.members(), "rank": member, "tier": 0, "zones": ["a"], "kinds": ["m"],
                "membershipMode": "pushed", "tickNs": 5_000_000,
                "products": [{"name": "order", "effect": "keyed", "keyScope": "all", "sloTimeNs": timeout,
                    "memorySpanNs": 60_000_000_000u64, "statementTimeoutNs": timeout, "tardyImportance": 0.5}],
                "limits": {"cancel": true, "mostExecutions": 3, "maxRetryAfterNs": 1_500_000_000,
                    "retryAfter": true, "secondCopies": false, "connIdleNs": 15_000_000_000u64,
                    "connectTimeoutNs": 250_000_000},
                "loadInfo": {"columns": ["throughput"]},
                "obligations": {"coldFrom": 0.3, "coldNs": 1, "fallMultiple": 3.0, "tipAfterNs": 1}}})
    }

    fn place(&self, member: usize, what: &str) -> PathBuf {
        self.folder.join(format!("n{member}.{what}"))
    }

    /// The folder of a member's store.
    pub fn store(&self, member: usize) -> PathBuf {
        self.place(member, "store")
    }

    pub fn start(&mut self, member: usize) {
        let (config, operator) = (self.place(member, "json"), self.place(member, "toml"));
        fs::write(&config, self.configuration(member).to_string()).expect("written");
        let text = format!(
            "[fleet]\nsocket = {:?}\nstore = {:?}\n{}\n[cut-off]\nqueries = \"reject\"\n",
            self.place(member, "sock"),
            self.store(member),
            self.fleet
        );
        fs::write(&operator, text).expect("written");
        let log = File::options().create(true).append(true).open(self.place(member, "log")).expect("a log");
        let child = process::Command::new(&self.program)
            .args(["run", "--operator"])
            .arg(&operator)
            .env("ROUTER_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.children[member] = Some(child);
    }

    pub fn start_all(&mut self) {
        (0..self.members()).for_each(|member| self.start(member));
    }

    /// Kills a process outright.
    pub fn kill(&mut self, member: usize) {
        if let Some(mut child) = self.children[member].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, member: usize, name: &str) {
        if let Some(child) = &self.children[member] {
            let id = child.id().to_string();
            let _ = process::Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    /// A command of `whinspindle fleet` begun at a member; `finish` has its end.
    pub fn begin(&self, member: usize, arguments: &[&str]) -> Child {
        let mut command = process::Command::new(&self.program);
        command.args(["fleet", "--socket"]).arg(self.place(member, "sock")).args(arguments);
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the command starts")
    }

    pub fn finish(child: Child) -> Command {
        let output = child.wait_with_output().expect("the command ends");
        let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        Command { code: output.status.code().unwrap_or(-1), said: said.into_owned() }
    }

    pub fn ask(&self, member: usize, arguments: &[&str]) -> Command {
        Self::finish(self.begin(member, arguments))
    }

    pub fn status(&self, member: usize) -> Value {
        let told = self.ask(member, &["status", "--json"]);
        serde_json::from_str(&told.said).unwrap_or(Value::Null)
    }

    /// A policy whose one route takes bodies of so many bytes, as a file.
    pub fn policy(&self, limit: u64) -> String {
        self.policy_with(limit, "")
    }

    /// The same with further tables.
    pub fn policy_with(&self, limit: u64, tables: &str) -> String {
        let file = self.folder.join(format!("policy-{limit}.toml"));
        let text = format!(
            "[[route]]\nname = \"orders\"\ntime = \"50s\"\nlargest-body = \"{limit}B\"\n[cut-off]\nqueries = \
             \"reject\"\n{tables}"
        );
        fs::write(&file, text).expect("written");
        file.display().to_string()
    }

    /// The numbers of the policies of `policy` that came into force, by their limits, as a member's history
    /// tells.
    pub fn numbers(&self, member: usize, limits: &[u64]) -> Vec<(u64, u64)> {
        let told = self.ask(member, &["history"]).said;
        let number = |limit: &u64| {
            let text = fs::read(self.folder.join(format!("policy-{limit}.toml"))).ok()?;
            let hash = blake3::hash(&text).to_hex();
            let line = told.lines().find(|line| line.contains(&hash[..12]) && line.ends_with("in force"))?;
            Some((*limit, line.split(' ').nth(1)?.parse().ok()?))
        };
        limits.iter().filter_map(number).collect()
    }

    /// The status that a member's health answers with; none if it answers nothing.
    pub fn health(&self, member: usize) -> Option<u16> {
        let mut stream =
            TcpStream::connect_timeout(&self.listens[member], Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n").ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Waits until something holds; a minute is for a machine that is busy.
    pub fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(60);
        while !holds() {
            assert!(Instant::now() < end, "{what} does not come about\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn log(&self, member: usize) -> String {
        fs::read_to_string(self.place(member, "log")).unwrap_or_default()
    }

    /// The last lines of all, but for those of servers and lists that no test has.
    pub fn logs(&self) -> String {
        let last = |member: usize| {
            let log = self.log(member);
            let told = |line: &&str| !["upstream:", "list:", "query:"].iter().any(|word| line.contains(word));
            let lines: Vec<&str> = log.lines().filter(told).collect();
            format!("n{member}:\n  {}\n", lines[lines.len().saturating_sub(20)..].join("\n  "))
        };
        (0..self.members()).map(last).collect()
    }

    /// Waits until all that run know it by their status. A command ends as soon as the member that it asked
    /// knows; the others hear of it by datagrams, and answer by what they knew before until then.
    pub fn known(&self, what: &str, holds: impl Fn(&Value) -> bool) {
        let running = || (0..self.members()).filter(|member| self.children[*member].is_some());
        self.until(&format!("{what}, known to all"), || running().all(|member| holds(&self.status(member))));
    }

    /// All that run found the fleet, and know that it is founded when this returns.
    pub fn found(&self) {
        self.until("a control socket", || self.ask(0, &["status"]).code == 0);
        let told = self.ask(0, &["found", "--wait", "60"]);
        assert_eq!(told.code, 0, "{}\n{}", told.said, self.logs());
        self.known("the founding", |status| status["founded"] == true);
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|member| self.kill(member));
        let _ = fs::remove_dir_all(&self.folder);
    }
}
