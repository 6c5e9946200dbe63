//! The report that a run prints at its end.

use std::fmt::Write;

use crate::prompt_ledger::PromptTokens;
use crate::referee::Violation;
use crate::tally::{KindTally, Tally};
use crate::usage::RoleUsage;

/// Broken rules that are shown one by one.
const SHOWN_VIOLATIONS: usize = 20;

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    pub tally: Tally,
    pub prompt_tokens: PromptTokens,
    pub violations: Vec<Violation>,
    pub usage: Vec<RoleUsage>,
}

impl Report {
    /// Whether no rule was broken and something was served.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.tally.kinds().any(|(_, kind)| kind.served() > 0)
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::from(
            "kind        requests   served  in time  refused   failed  first event median    p99\n",
        );
        for (name, kind) in self.tally.kinds() {
            push_kind(&mut text, name, kind);
        }
        self.push_reasons(&mut text);
        let PromptTokens { read, read_again, reused } = self.prompt_tokens;
        let _ = writeln!(text, "prompt tokens: {read} read, {read_again} of them again; {reused} reused");
        let _ = writeln!(text, "retries of clients: {}", self.tally.retries);
        for usage in &self.usage {
            let _ = writeln!(text, "{usage}");
        }
        self.push_verdict(&mut text);
        text
    }

    fn push_reasons(&self, text: &mut String) {
        for (name, kind) in self.tally.kinds() {
            for (status, count) in &kind.refusals {
                let _ = writeln!(text, "  {name}: {count} refused with {status}");
            }
            for (failure, count) in &kind.failures {
                let _ = writeln!(text, "  {name}: {count} failed: {failure:?}");
            }
        }
    }

    fn push_verdict(&self, text: &mut String) {
        if self.violations.is_empty() {
            text.push_str("referee: no rule broken\n");
            return;
        }
        let _ = writeln!(text, "referee: {} violations", self.violations.len());
        for violation in self.violations.iter().take(SHOWN_VIOLATIONS) {
            let _ = writeln!(text, "  {violation}");
        }
    }
}

fn push_kind(text: &mut String, name: &str, kind: &KindTally) {
    let time = |share| kind.first_event_ms(share).map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
    let _ = writeln!(
        text,
        "{name:<10} {:>9} {:>8} {:>8} {:>8} {:>8} {:>19} {:>6}",
        kind.requests,
        kind.served(),
        kind.in_time,
        kind.refused(),
        kind.failed(),
        time(0.5),
        time(0.99),
    );
}
