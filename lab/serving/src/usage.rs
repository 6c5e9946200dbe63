//! Processor time and memory of processes, as the kernel counts them.

use std::fmt;

/// The kernel counts processor time in ticks of this length.
const TICK_MS: u64 = 10;
/// Fields of `/proc/ID/stat` behind the name in brackets: user and system time.
const FIRST_TIME_FIELD: usize = 11;
const TIME_FIELDS: usize = 2;

/// What one process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub processor_ms: u64,
    pub peak_memory_kb: u64,
}

/// What the processes of one role have used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleUsage {
    role: &'static str,
    processes: usize,
    processor_ms: u64,
    most_memory_kb: u64,
}

impl Usage {
    /// Reads what a process has used; none if it is gone.
    pub fn of_process(id: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        // The name in brackets may hold blanks.
        let fields = stat.rsplit(')').next()?.split_whitespace();
        let ticks: u64 = fields
            .skip(FIRST_TIME_FIELD)
            .take(TIME_FIELDS)
            .filter_map(|ticks| ticks.parse::<u64>().ok())
            .sum();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_memory_kb = peak.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(Usage { processor_ms: ticks * TICK_MS, peak_memory_kb })
    }
}

impl RoleUsage {
    /// The sum over the processes of a role.
    pub fn new(role: &'static str, usages: &[Usage]) -> Self {
        RoleUsage {
            role,
            processes: usages.len(),
            processor_ms: usages.iter().map(|usage| usage.processor_ms).sum(),
            most_memory_kb: usages.iter().map(|usage| usage.peak_memory_kb).max().unwrap_or(0),
        }
    }
}

impl fmt::Display for RoleUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RoleUsage { role, processes, processor_ms, most_memory_kb } = self;
        write!(
            formatter,
            "{processes} x {role}: {processor_ms} ms of processor time, {most_memory_kb} kB of memory at most"
        )
    }
}
