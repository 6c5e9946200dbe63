//! The table `[fleet]` of the operator's file: who votes, how long a lease lasts, where state is kept, and how the
//! process is addressed. Without the table there is no fleet.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use whinspindle_deployment_settings::Deployment;
use whinspindle_toml_config::Table;

/// Three voters outlive the failure of one, seven that of three; more don't pay.
const VOTERS: RangeInclusive<usize> = 1..=7;
/// In microseconds.
const SECOND: u64 = 1_000_000;
/// The datagrams of the platform's protocol, in bytes.
const DEFAULT_DATAGRAM: u64 = 256;
/// The largest datagrams that an installation may allow, in bytes.
const MAX_DATAGRAM: u64 = 1400;
/// The most requests a second that a voter answers: the pace grows with the fleet.
const ANSWERS_PER_SECOND: u64 = 200;

/// The table `[fleet]`. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetTerms {
    /// The fleet's name: members of other fleets are ignored.
    pub name: String,
    /// The members' shared secret.
    pub secret: String,
    /// The socket for operators' commands.
    pub socket: PathBuf,
    /// The folder of the durable state.
    pub store: PathBuf,
    /// The members that vote from the bootstrap on.
    pub voters: Vec<u16>,
    /// How many members the fleet has.
    pub members: u16,
    /// The number of this member, from 0.
    pub me: u16,
    /// How long a lease lasts.
    pub right: u64,
    /// The largest deviation of a clock's rate, in millionths.
    pub drift: u64,
    /// Time between two requests for the lease.
    pub pace: u64,
    /// A member from which nothing was received for so long is taken to be away.
    pub absent: u64,
    /// A change that isn't proved everywhere within this time is given up.
    pub give_up: u64,
    /// How long a process that has just started waits for its first lease.
    pub learn: u64,
    /// The largest datagram, in bytes.
    pub datagram: usize,
    /// Whether neighbours are asked for their endpoint list until discovery has sent one.
    pub neighbours: bool,
    /// Whether few requests are taken at a time when the process starts.
    pub begin_slowly: bool,
}

/// Reads the table; none if there is none.
pub fn fleet(table: &Table, deployment: &Deployment) -> Option<FleetTerms> {
    let t = table.table("fleet")?;
    let members = deployment.balancer_settings.balancers.min(u16::MAX as usize) as u16;
    let me = deployment.balancer_settings.rank.min(u16::MAX as usize) as u16;
    if me >= members {
        let way_out = "settings whose rank is below their number of balancers";
        t.report_error(&t.location(), format!("this balancer is number {me} of {members}"), way_out);
    }
    let voters = voters(&t, members);
    let Times { right, pace, absent } = times(&t, members);
    let datagram = datagram(&t);
    Some(FleetTerms {
        name: t.string("name", None),
        secret: t.string("secret", Some("")),
        socket: PathBuf::from(t.string("socket", None)),
        store: PathBuf::from(t.string("store", None)),
        voters,
        members,
        me,
        right,
        drift: (t.float("drift", (0.0, 0.2), Some(0.01)) * 1e6) as u64,
        pace: pace.max(1),
        absent,
        give_up: t.duration_us("give-up", Some(60 * SECOND)),
        learn: t.duration_us("learn", Some(2 * SECOND)),
        datagram,
        neighbours: t.boolean("neighbours", true),
        begin_slowly: t.boolean("begin-slowly", true),
    })
}

/// The numbers of the voters, in order.
fn voters(t: &Table, members: u16) -> Vec<u16> {
    let numbers = t.integers("voters", (0, u64::from(members.saturating_sub(1))));
    let mut voters: Vec<u16> = numbers.into_iter().map(|voter| voter as u16).collect();
    voters.sort_unstable();
    let given = voters.len();
    voters.dedup();
    let place = t.location_of("voters");
    if given != voters.len() {
        t.report_error(&place, "names a balancer twice", "each once");
    }
    if !VOTERS.contains(&given) {
        let way_out = "three, or five: of three one may be away, of five two";
        t.report_error(&place, format!("{given} voters"), way_out);
    } else if given.is_multiple_of(2) {
        let fault = format!("{given} voters outlive no more than {} do", given - 1);
        t.report_error(&place, fault, "an odd number");
    }
    voters
}

/// The times of the lease protocol: see `FleetTerms`.
struct Times {
    right: u64,
    pace: u64,
    absent: u64,
}

fn times(t: &Table, members: u16) -> Times {
    let right = t.duration_us("right", Some(10 * SECOND));
    let shortest_pace = u64::from(members) * SECOND / ANSWERS_PER_SECOND;
    let pace = t.duration_us("pace", Some((right / 5).max(shortest_pace)));
    if pace == 0 || pace > right / 3 {
        let fault = format!("a right of {} ms is asked for every {} ms", right / 1000, pace / 1000);
        t.report_error(&t.location_of("right"), fault, "three questions in the time of a right at the least");
    }
    if pace < shortest_pace / 2 {
        let most = 2 * ANSWERS_PER_SECOND;
        let fault = format!("{members} balancers would ask a voter over {most} times a second");
        t.report_error(&t.location_of("pace"), fault, "leave it out, or a longer one");
    }
    let absent = t.duration_us("absent", Some(right));
    if absent < 2 * pace {
        let way_out = "twice the pace at the least";
        t.report_error(
            &t.location_of("absent"),
            "one question lost would make a balancer pass for away",
            way_out,
        );
    }
    Times { right, pace, absent }
}

/// The largest datagram, in bytes.
fn datagram(t: &Table) -> usize {
    let datagram = t.size_bytes("datagram", Some(DEFAULT_DATAGRAM));
    if !(DEFAULT_DATAGRAM..=MAX_DATAGRAM).contains(&datagram) {
        let way_out = format!("from {DEFAULT_DATAGRAM} to {MAX_DATAGRAM} bytes");
        t.report_error(&t.location_of("datagram"), format!("{datagram} bytes"), way_out);
    }
    datagram as usize
}
