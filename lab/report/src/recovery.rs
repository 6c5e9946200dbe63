//! The way back after a trouble: how long until a run is as good as the same run without it, and what that
//! cost.

use serde::Serialize;

use crate::{Run, Second};

/// Full service: this part of what the run without the trouble earns, in every window from then on.
pub const FULL: f64 = 0.98;
/// Windows are so long, in seconds: shorter ones differ by chance alone.
const WINDOW_S: f64 = 2.0;

/// Times are seconds. Prices are those of the run with the trouble less those without it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// From the end of the trouble until full service for good; none if the run ends before.
    pub to_full_s: Option<f64>,
    /// Worth lost while the trouble lasted and after it, as seconds of what is earned without it.
    pub lost_during_s: f64,
    pub lost_after_s: f64,
    pub rejected: i64,
    pub failed: i64,
    pub handshakes: i64,
    pub client_tries: i64,
    pub choked_s: f64,
    pub crossings: f64,
}

/// What two runs of the same seed differ by, one with a trouble that ends at a time and one without it.
pub fn recovery(with: &Run, without: &Run, begins_s: f64, ends_s: f64) -> Recovery {
    let step = with.seconds.get(1).zip(with.seconds.first()).map_or(1.0, |(b, a)| b.at_s - a.at_s);
    let all: f64 = without.seconds.iter().map(|second| second.earned).sum();
    let mean = all / (without.seconds.len().max(1) as f64 * step);
    let lost = |from: f64, to: f64| {
        let within = |second: &&Second| second.at_s >= from && second.at_s < to;
        let of = |run: &Run| run.seconds.iter().filter(within).map(|second| second.earned).sum::<f64>();
        if mean > 0.0 { (of(without) - of(with)) / mean } else { 0.0 }
    };
    // Windows are looked at from the end back: service is full from where no later one falls short.
    let wide = (WINDOW_S / step).round().max(1.0) as usize;
    let mut full_from = None;
    let pairs: Vec<(&Second, &Second)> = with.seconds.iter().zip(&without.seconds).collect();
    for window in pairs.windows(wide).rev() {
        let earned: f64 = window.iter().map(|(with, _)| with.earned).sum();
        let wanted: f64 = window.iter().map(|(_, without)| without.earned).sum();
        if earned < FULL * wanted {
            break;
        }
        full_from = Some(window[0].0.at_s);
    }
    let difference = |of: fn(&Run) -> u64| of(with) as i64 - of(without) as i64;
    Recovery {
        to_full_s: full_from.map(|from| (from - ends_s).max(0.0)),
        lost_during_s: lost(begins_s, ends_s),
        lost_after_s: lost(ends_s, f64::INFINITY),
        rejected: difference(|run| run.rejected),
        failed: difference(|run| run.failed),
        handshakes: difference(|run| run.price.handshakes),
        client_tries: difference(|run| run.price.client_retries),
        choked_s: with.price.choked_s - without.price.choked_s,
        crossings: with.price.crossings - without.price.crossings,
    }
}
