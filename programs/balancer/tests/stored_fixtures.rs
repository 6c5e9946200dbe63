//! What a balancer keeps on disk, as whole files under the names by which it finds them again: read, compared by
//! every field, and written as the same bytes again.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "../../../balancer/fleet-policy/tests/common/records.rs"]
mod records;

use std::fs;
use std::path::{Path, PathBuf};

use fixtures::fixture;
use records::{before_bootstrap, record};
use serde_json::json;
use whinspindle::host::EndpointState;
use whinspindle_endpoint_cache::{Ages, Trust};
use whinspindle_fleet_policy::{Ballot, DurableState, Plan, Unit};
use whinspindle_lab_fault_proxies::Stand;
use whinspindle_protocol::endpoints::ListedServer;
use whinspindle_record_store::RecordStore;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("whinspindle-fixtures-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Writes the versions of each record in turn and holds the files against the fixtures. Gives what a store reads
/// that has the fixtures alone.
fn stored(of: &str, records: &[(&str, Vec<Vec<u8>>)]) -> Vec<Vec<u8>> {
    let (written, read) = (folder(&format!("{of}-written")), folder(&format!("{of}-read")));
    let (writer, reader) =
        (RecordStore::open(&written).expect("a folder"), RecordStore::open(&read).expect("a folder"));
    for (name, versions) in records {
        versions.iter().for_each(|version| writer.write(name, version).expect("written"));
        for file in [format!("{name}.a"), format!("{name}.b")] {
            if let Ok(now) = fs::read(written.join(&file)) {
                lay(&read, &file, &fixture(&format!("{file}.bin"), &now));
            }
        }
    }
    let found = records.iter().map(|(name, _)| reader.read(name).expect("a whole record")).collect();
    let _ = fs::remove_dir_all(&written);
    let _ = fs::remove_dir_all(&read);
    found
}

fn lay(folder: &Path, file: &str, bytes: &[u8]) {
    fs::write(folder.join(file), bytes).expect("laid there");
}

fn memories() -> [DurableState; 2] {
    // As a member begins, and with something in each field.
    let first = DurableState { incarnation: 23, votes: Default::default(), record: before_bootstrap() };
    let mut second =
        DurableState { incarnation: 0xfeed_0000_0000_0001, votes: Default::default(), record: record() };
    second.votes.promised = Ballot { epoch: 2, round: 303, member: 300, start_id: 0xa1a2_a3a4_a5a6_a7a9 };
    let mut accepted = record();
    (accepted.version, accepted.halted, accepted.next) = (302, None, None);
    second.votes.accepted =
        Some((Ballot { epoch: 1, round: 302, member: 4, start_id: 0xb1b2_b3b4_b5b6_b7b9 }, accepted));
    [first, second]
}

#[test]
fn what_a_voter_has_promised_is_read_and_written_as_the_same_files() {
    let encoded = |memory: &DurableState| postcard::to_stdvec(memory).expect("encoded");
    let read = stored("votes", &[("votes", memories().iter().map(encoded).collect())]);
    let (memory, rest) = postcard::take_from_bytes::<DurableState>(&read[0]).expect("a memory");
    let [first, second] = memories();
    assert_eq!((&memory, rest.len()), (&second, 0));
    assert_eq!(encoded(&memory), read[0]);
    // The version before stands in the other file.
    let before = fixture_record("votes.a.bin");
    assert_eq!(postcard::take_from_bytes::<DurableState>(&before).expect("a memory"), (first, [].as_slice()));
}

/// What is in a fixture of a store's file: it follows magic, generation, length and hash.
fn fixture_record(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    fs::read(path).expect("a fixture")[56..].to_vec()
}

const PLAN: &str = "name = \"größer\"\nunits = [\"balancer:1-2\", \"server:s-17\", \"balancer:300\"]\n\
                    waves = [\"1\", \"50%\", \"100%\"]\nwatch = \"90s\"\nerror = 0.05\nbuild = \"0123456789ab\"\n";

#[test]
fn texts_of_policies_and_the_plan_are_read_and_written_as_the_same_files() {
    // Four texts are kept, by the number of the policy; one that is larger than a page, and one with nothing.
    let texts = ["# policy 1008\n", "", "# größer, 1010\n", "# 1011, a line that comes again\n"];
    let texts: [Vec<u8>; 4] = std::array::from_fn(|at| texts[at].repeat(1 + at * 100).into_bytes());
    let names = ["text-0", "text-1", "text-2", "text-3"];
    let mut records: Vec<(&str, Vec<Vec<u8>>)> =
        names.iter().zip(&texts).map(|(name, text)| (*name, vec![text.clone()])).collect();
    records.push(("plan", vec![PLAN.as_bytes().to_vec()]));
    let read = stored("texts", &records);
    assert_eq!(read[..4], texts);
    assert_eq!(read[4], PLAN.as_bytes());
    let plan = whinspindle_operator_file::read_plan(std::str::from_utf8(&read[4]).expect("UTF-8"), None);
    let of = |name: &str| name.to_string();
    let expected = Plan {
        name: of("größer"),
        units: vec![Unit::Balancer(1), Unit::Balancer(2), Unit::Server(SERVER_17), Unit::Balancer(300)],
        names: vec![of("balancer:1"), of("balancer:2"), of("server:s-17"), of("balancer:300")],
        waves: vec![1, 2, 4],
        watch: 90_000_000,
        error: 0.05,
        build: Some(of("0123456789ab")),
    };
    assert_eq!(plan.ok(), Some(expected));
}

/// The key of the id `s-17`, which all balancers have in common.
const SERVER_17: u64 = 5_108_678_570_332_499_273;

#[test]
fn the_kept_list_is_read_and_written_as_the_same_files() {
    const AT: u64 = 1_800_000_000_123_456;
    let listed = |name: &str, state, started_at| ListedServer {
        name: name.to_string(),
        zone: format!("zone of {name}"),
        kind: format!("kind of {name}"),
        cell: 300,
        relative_capacity: 2.75,
        started_at,
        state,
        address: Some(([192, 0, 2, 17], 8443).into()),
    };
    let before = [listed("s-1", EndpointState::Ready, 0)];
    let now = [listed("s-2", EndpointState::Draining, AT - 1), listed("s-3", EndpointState::Ready, AT - 2)];
    let encoded = [(&before[..], AT - 5_000_000), (&now, AT)]
        .map(|(of, at)| whinspindle_endpoint_cache::encode(of, 0, at));
    let read = stored("list", &[("list", encoded.to_vec())]);
    let ages = Ages { fresh: 10, old: 20 };
    let (update, trust) = whinspindle_endpoint_cache::restore(&read[0], AT + 10, &ages).expect("a list");
    assert_eq!((update.servers.as_slice(), trust), (now.as_slice(), Trust::Full));
    assert_eq!(whinspindle_endpoint_cache::encode(&update.servers, 0, AT), read[0]);
    let (update, trust) =
        whinspindle_endpoint_cache::restore(&fixture_record("list.a.bin"), AT, &ages).expect("a list");
    assert_eq!((update.servers[0].name.as_str(), trust), ("s-1", Trust::Unverified));
}

#[test]
fn the_program_finds_the_files_by_their_names_and_knows_what_they_say() {
    let kept = folder("kept");
    fs::create_dir_all(&kept).expect("a folder");
    let fleet = format!(
        "name = \"try\"\nsecret = \"s\"\nvoters = [0, 1, 2]\nright = \"2s\"\nlearn = \"1s\"\ngive-up = \"40s\"\n\
         [keep]\nfolder = {:?}\nfresh = \"20s\"\n",
        kept.display().to_string()
    );
    let program = Path::new(env!("CARGO_BIN_EXE_whinspindle"));
    let mut stand = Stand::new(program, "stored-fixtures", 3, &fleet);
    stand.known = vec![false; 3];
    let store = stand.store(0);
    fs::create_dir_all(&store).expect("a folder");
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    for file in fs::read_dir(&data).expect("the fixtures") {
        let file = file.expect("a file").file_name().into_string().expect("UTF-8");
        let laid = file.strip_suffix(".bin").expect("a fixture");
        let bytes = fs::read(data.join(&file)).expect("a fixture");
        lay(if laid.starts_with("list.") { &kept } else { &store }, laid, &bytes);
    }
    stand.start(0);
    stand.until("what it remembers", || stand.log(0).contains("member 0: remembers policy 1007"));
    stand.until("the list", || stand.log(0).contains("2 servers are remembered"));
    stand.until("a status", || stand.status(0)["founded"] == true);
    let status = stand.status(0);
    // Its own incarnation is that of a voter: a memory that began anew would have another.
    assert_eq!(status["isVoter"], true, "{status}");
    assert_eq!(
        status["policy"],
        json!({"number": 1007, "hash": record().policy.hash.to_string()}),
        "{status}"
    );
    assert_eq!(status["next"]["number"], 1008, "{status}");
    assert_eq!(status["halted"], json!({"by": 11, "why": "more fail: größer"}), "{status}");
    let fates: Vec<&str> = (0..4).map(|at| status["past"][at]["fate"].as_str().unwrap_or_default()).collect();
    assert_eq!(fates, ["in force", "withdrawn", "refused by member 513", "given up"], "{status}");
    let ends: Vec<&str> =
        (0..3).map(|at| status["release"]["past"][at]["end"].as_str().unwrap_or_default()).collect();
    assert_eq!(ends, ["Done", "TakenBack", "Left"], "{status}");
    assert_eq!(status["release"]["now"]["changed"], 5, "{status}");
    assert_eq!(
        status["out"],
        json!([{"balancer": 5, "by": 6}, {"server": "abcdef0123456789", "by": 8},
            {"server": "0000000000000009", "by": 10}]),
        "{status}"
    );
    let _ = fs::remove_dir_all(&kept);
}
