//! What the file says of the fleet: who votes, how long a right lasts, where state is kept, and how the
//! process is spoken to. Without the table there is no fleet.

use std::path::PathBuf;

use whinspindle_deployment_settings::Deployment;
use whinspindle_toml_config::Table;

/// Fewer and more voters than this don't pay: three outlive one, seven outlive three.
const VOTERS: (usize, usize) = (1, 7);
/// In microseconds.
const SECOND: u64 = 1_000_000;
/// Datagrams of the platform's protocol, and the largest that other installations may allow, in bytes.
const DATAGRAMS: (u64, u64) = (256, 1400);
/// A voter answers so many questions a second at most, so that the pace grows with the fleet.
const ANSWERS: u64 = 200;

/// Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetTerms {
    pub name: String,
    pub secret: String,
    pub socket: PathBuf,
    pub store: PathBuf,
    pub voters: Vec<u16>,
    pub members: u16,
    pub me: u16,
    pub right: u64,
    /// In millionths.
    pub drift: u64,
    pub pace: u64,
    pub absent: u64,
    pub give_up: u64,
    pub learn: u64,
    /// In bytes.
    pub datagram: usize,
    /// Whether the list of servers is asked for at neighbours while discovery has not spoken.
    pub neighbours: bool,
    /// Whether few queries are taken at a time when the process starts.
    pub begin_slowly: bool,
}

pub fn fleet(table: &Table, deployment: &Deployment) -> Option<FleetTerms> {
    let t = table.table("fleet")?;
    let members = deployment.terms.balancers.min(u16::MAX as usize) as u16;
    let me = deployment.terms.rank.min(u16::MAX as usize) as u16;
    if me >= members {
        let way_out = "settings whose rank is below their number of balancers";
        t.fault(&t.place(), format!("this balancer is number {me} of {members}"), way_out);
    }
    let voters = t.numbers("voters", (0, u64::from(members.saturating_sub(1))));
    let mut voters: Vec<u16> = voters.into_iter().map(|voter| voter as u16).collect();
    voters.sort_unstable();
    let given = voters.len();
    voters.dedup();
    let place = t.place_of("voters");
    if given != voters.len() {
        t.fault(&place, "names a balancer twice", "each once");
    }
    if !(VOTERS.0..=VOTERS.1).contains(&given) {
        let way_out = "three, or five: of three one may be away, of five two";
        t.fault(&place, format!("{given} voters"), way_out);
    } else if given.is_multiple_of(2) {
        let fault = format!("{given} voters outlive no more than {} do", given - 1);
        t.fault(&place, fault, "an odd number");
    }
    let right = t.time("right", Some(10 * SECOND));
    let least = (right / 5).max(u64::from(members) * SECOND / ANSWERS);
    let pace = t.time("pace", Some(least));
    if pace == 0 || pace > right / 3 {
        let fault = format!("a right of {} ms is asked for every {} ms", right / 1000, pace / 1000);
        t.fault(&t.place_of("right"), fault, "three questions in the time of a right at the least");
    }
    if pace < u64::from(members) * SECOND / ANSWERS / 2 {
        let fault = format!("{members} balancers would ask a voter over {} times a second", 2 * ANSWERS);
        t.fault(&t.place_of("pace"), fault, "leave it out, or a longer one");
    }
    let absent = t.time("absent", Some(right));
    if absent < 2 * pace {
        let way_out = "twice the pace at the least";
        t.fault(&t.place_of("absent"), "one question lost would make a balancer pass for away", way_out);
    }
    let datagram = t.size("datagram", Some(DATAGRAMS.0));
    if !(DATAGRAMS.0..=DATAGRAMS.1).contains(&datagram) {
        let way_out = format!("from {} to {} bytes", DATAGRAMS.0, DATAGRAMS.1);
        t.fault(&t.place_of("datagram"), format!("{datagram} bytes"), way_out);
    }
    Some(FleetTerms {
        name: t.text("name", None),
        secret: t.text("secret", Some("")),
        socket: PathBuf::from(t.text("socket", None)),
        store: PathBuf::from(t.text("store", None)),
        voters,
        members,
        me,
        right,
        drift: (t.number("drift", (0.0, 0.2), Some(0.01)) * 1e6) as u64,
        pace: pace.max(1),
        absent,
        give_up: t.time("give-up", Some(60 * SECOND)),
        learn: t.time("learn", Some(2 * SECOND)),
        datagram: datagram as usize,
        neighbours: t.flag("neighbours", true),
        begin_slowly: t.flag("begin-slowly", true),
    })
}
