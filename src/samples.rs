//! The last samples of a measurement: rings, times within a span, means and ranks. Nothing is decided here.

use std::collections::VecDeque;

/// Keeps the last `most` items.
pub fn push<T>(ring: &mut VecDeque<T>, most: usize, item: T) {
    if ring.len() >= most {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Adds the present time to those of the last `span`.
pub fn note_time(times: &mut VecDeque<u64>, now: u64, span: u64) {
    count_times(times, now, span);
    times.push_back(now);
}

/// How many times lie in the last `span`; older ones are let go.
pub fn count_times(times: &mut VecDeque<u64>, now: u64, span: u64) -> f64 {
    while times.pop_front_if(|at| *at + span < now).is_some() {}
    times.len() as f64
}

/// Of nothing it is 0.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// The value above which this part of them lies below; none where there are none, or all lie below.
pub fn ranked<T: PartialOrd + Copy>(values: impl Iterator<Item = T>, rank: f64) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    let at = (values.len() as f64 * rank) as usize;
    if at >= values.len() {
        return None;
    }
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    Some(*values.select_nth_unstable_by(at, order).1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rings_and_spans_let_go_of_what_is_old() {
        let (mut ring, mut times) = (VecDeque::new(), VecDeque::new());
        for (now, kept, counted) in [(10, [10].as_slice(), 1.0), (15, &[10, 15], 2.0), (30, &[15, 30], 1.0)] {
            push(&mut ring, 2, now);
            note_time(&mut times, now, 10);
            assert_eq!((ring.make_contiguous() as &[u64], times.len() as f64), (kept, counted), "{now}");
        }
        assert_eq!(count_times(&mut times, 41, 10), 0.0);
    }

    #[test]
    fn means_and_ranks() {
        for (values, middle, rank, at) in [
            ([].as_slice(), 0.0, 0.5, None),
            (&[7.0], 7.0, 0.5, Some(7.0)),
            (&[7.0], 7.0, 1.0, None),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.5, Some(3.0)),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.9, Some(4.0)),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.0, Some(1.0)),
        ] {
            assert_eq!(mean(values.iter().copied()), middle, "{values:?}");
            assert_eq!(ranked(values.iter().copied(), rank), at, "{values:?} {rank}");
        }
    }
}
