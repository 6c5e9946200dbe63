//! The table `[fleet]` of the operator's file: the voters, the times of the lease protocol, the folder of the
//! durable state, and the socket for operators. A process without the table belongs to no fleet.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use whinspindle_deployment_settings::Deployment;
use whinspindle_toml_config::Table;

/// The number of voters. Three tolerate the failure of one, seven that of three; more are of no use.
const VOTER_COUNT: RangeInclusive<usize> = 1..=7;
/// A second in microseconds.
const SECOND_US: u64 = 1_000_000;
/// The largest datagram of the platform's protocol, in bytes.
const DEFAULT_DATAGRAM_BYTES: u64 = 256;
/// The largest datagram that an installation may allow, in bytes.
const MAX_DATAGRAM_BYTES: u64 = 1400;
/// The most lease requests a second that a voter answers. The renewal interval grows with the fleet
/// accordingly.
const RENEWALS_PER_SECOND: u64 = 200;

/// The table `[fleet]`. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name. Members of other fleets are ignored.
    pub name: String,
    /// The members' shared secret.
    pub secret: String,
    /// The socket for operators' commands.
    pub socket: PathBuf,
    /// The folder of the durable state.
    pub store: PathBuf,
    /// The members that vote from the bootstrap on.
    pub voters: Vec<u16>,
    /// The number of members in the fleet.
    pub member_count: u16,
    /// The number of this member, from 0.
    pub member: u16,
    /// The duration of a lease.
    pub lease_us: u64,
    /// The largest deviation of a clock's rate, in millionths.
    pub clock_drift_ppm: u64,
    /// The time between two requests to renew the lease.
    pub renewal_interval_us: u64,
    /// A member counts as absent once nothing was received from it for this time.
    pub absence_timeout_us: u64,
    /// A change that isn't proved everywhere within this time is given up.
    pub change_timeout_us: u64,
    /// How long a process that has just started waits for its first lease.
    pub startup_timeout_us: u64,
    /// The largest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Whether neighbours are asked for their endpoint lists until discovery has sent one.
    pub asks_neighbours: bool,
    /// Whether the process admits few requests at a time when it starts.
    pub slow_start: bool,
}

/// Parses the table, if the file has one.
pub fn fleet(root: &Table, deployment: &Deployment) -> Option<FleetSettings> {
    let table = root.table("fleet")?;
    let member_count = deployment.balancer_settings.balancers.min(u16::MAX as usize) as u16;
    let member = deployment.balancer_settings.rank.min(u16::MAX as usize) as u16;
    if member >= member_count {
        let hint = "settings whose rank is below their number of balancers";
        table.report_error(
            &table.location(),
            format!("this balancer is number {member} of {member_count}"),
            hint,
        );
    }
    let voters = voters(&table, member_count);
    let LeaseTimes { lease_us, renewal_interval_us, absence_timeout_us } = lease_times(&table, member_count);
    let max_datagram_bytes = max_datagram_bytes(&table);
    Some(FleetSettings {
        name: table.string("name", None),
        secret: table.string("secret", Some("")),
        socket: PathBuf::from(table.string("socket", None)),
        store: PathBuf::from(table.string("store", None)),
        voters,
        member_count,
        member,
        lease_us,
        clock_drift_ppm: (table.float("drift", (0.0, 0.2), Some(0.01)) * 1e6) as u64,
        renewal_interval_us: renewal_interval_us.max(1),
        absence_timeout_us,
        change_timeout_us: table.duration_us("give-up", Some(60 * SECOND_US)),
        startup_timeout_us: table.duration_us("learn", Some(2 * SECOND_US)),
        max_datagram_bytes,
        asks_neighbours: table.boolean("neighbours", true),
        slow_start: table.boolean("begin-slowly", true),
    })
}

/// The numbers of the voters, in order.
fn voters(table: &Table, member_count: u16) -> Vec<u16> {
    let numbers = table.integers("voters", (0, u64::from(member_count.saturating_sub(1))));
    let mut voters: Vec<u16> = numbers.into_iter().map(|voter| voter as u16).collect();
    voters.sort_unstable();
    let given_count = voters.len();
    voters.dedup();
    let location = table.location_of("voters");
    if given_count != voters.len() {
        table.report_error(&location, "names a balancer twice", "each once");
    }
    if !VOTER_COUNT.contains(&given_count) {
        let hint = "three, which tolerate the failure of one, or five, which tolerate two";
        table.report_error(&location, format!("{given_count} voters"), hint);
    } else if given_count.is_multiple_of(2) {
        let message = format!("{given_count} voters tolerate no more failures than {} do", given_count - 1);
        table.report_error(&location, message, "an odd number");
    }
    voters
}

/// The times of the lease protocol: see `FleetSettings`.
struct LeaseTimes {
    lease_us: u64,
    renewal_interval_us: u64,
    absence_timeout_us: u64,
}

fn lease_times(table: &Table, member_count: u16) -> LeaseTimes {
    let lease_us = table.duration_us("right", Some(10 * SECOND_US));
    let shortest_interval_us = u64::from(member_count) * SECOND_US / RENEWALS_PER_SECOND;
    let renewal_interval_us = table.duration_us("pace", Some((lease_us / 5).max(shortest_interval_us)));
    if renewal_interval_us == 0 || renewal_interval_us > lease_us / 3 {
        let message =
            format!("a lease of {} ms is renewed every {} ms", lease_us / 1000, renewal_interval_us / 1000);
        table.report_error(
            &table.location_of("right"),
            message,
            "at least three renewals in the time of a lease",
        );
    }
    if renewal_interval_us < shortest_interval_us / 2 {
        let max_renewals = 2 * RENEWALS_PER_SECOND;
        let message =
            format!("{member_count} balancers would ask a voter over {max_renewals} times a second");
        table.report_error(&table.location_of("pace"), message, "leave it out, or a longer one");
    }
    let absence_timeout_us = table.duration_us("absent", Some(lease_us));
    if absence_timeout_us < 2 * renewal_interval_us {
        let hint = "at least twice the pace";
        table.report_error(
            &table.location_of("absent"),
            "one lost request would make a balancer count as absent",
            hint,
        );
    }
    LeaseTimes { lease_us, renewal_interval_us, absence_timeout_us }
}

/// The largest datagram, in bytes.
fn max_datagram_bytes(table: &Table) -> usize {
    let bytes = table.size_bytes("datagram", Some(DEFAULT_DATAGRAM_BYTES));
    if !(DEFAULT_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes) {
        let hint = format!("from {DEFAULT_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES} bytes");
        table.report_error(&table.location_of("datagram"), format!("{bytes} bytes"), hint);
    }
    bytes as usize
}
