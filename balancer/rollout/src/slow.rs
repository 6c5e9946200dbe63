//! What counts as slow: longer than nine in ten of the last answers to the same product, whoever gave them.
//! Both sides of a comparison go by the same line, so that a load that slows all moves the line and not the
//! verdict.

/// Answers that the line is drawn from; it is drawn anew once so many more have come.
const LAST: usize = 64;

#[derive(Clone, Debug, Default)]
struct Line {
    last: Vec<u64>,
    above: Option<u64>,
}

/// The lines, a product each.
#[derive(Clone, Debug, Default)]
pub struct Lines(Vec<Line>);

impl Lines {
    /// Whether an answer that took so many microseconds is slow; until enough have come, none is.
    pub fn is_slow(&mut self, product: usize, spent: u64) -> bool {
        if self.0.len() <= product {
            self.0.resize(product + 1, Line::default());
        }
        let line = &mut self.0[product];
        let slow = line.above.is_some_and(|above| spent > above);
        line.last.push(spent);
        if line.last.len() == LAST {
            line.last.sort_unstable();
            line.above = Some(line.last[LAST * 9 / 10]);
            line.last.clear();
        }
        slow
    }
}
