use super::*;

#[test]
fn drops_old_items_and_events() {
    let (mut ring, mut times) = (VecDeque::new(), VecDeque::new());
    for (now, kept, count) in [(10, [10].as_slice(), 1.0), (15, &[10, 15], 2.0), (30, &[15, 30], 1.0)] {
        push_bounded(&mut ring, 2, now);
        record_event(&mut times, now, 10);
        assert_eq!((ring.make_contiguous() as &[u64], times.len() as f64), (kept, count), "{now}");
    }
    assert_eq!(count_recent(&mut times, 41, 10), 0.0);
}

#[test]
fn fits_a_weighted_line() {
    for (samples, slope, x, y, w) in [
        ([].as_slice(), 0.0, 0.0, 0.0, 0.0),
        (&[(2.0, 3.0, 5.0)], 0.0, 3.0, 5.0, 2.0),
        (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0)], 2.0, 2.0, 5.0, 2.0),
        // A sample without weight has no influence.
        (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0), (0.0, 9.0, 0.0)], 2.0, 2.0, 5.0, 2.0),
    ] {
        assert_eq!(fit_line(samples.iter().copied()), (slope, x, y, w), "{samples:?}");
    }
}

#[test]
fn batches_end_when_full_or_old() {
    let mut batches = BatchMeans::new(0);
    // Time, number of samples, their value, and the expected lowest and latest mean.
    for (now, count, sample, lowest, latest) in [
        (1, 63, 9.0, f64::MAX, f64::INFINITY),
        (2, 1, 9.0, 9.0, 9.0),
        (3, 7, 5.0, 9.0, 5.5),
        (40, 1, 5.0, 5.0, 5.0),
        (41, 64, 7.0, 5.0, 7.0),
    ] {
        (0..count).for_each(|_| batches.record(now, sample, 30));
        assert_eq!((batches.lowest_mean(), batches.latest_mean()), (lowest, latest), "{now}");
    }
}

#[test]
fn event_rate_counts_events_since_the_start() {
    let times = VecDeque::from([1_000_000, 2_000_000, 3_000_000]);
    for (since, min_window_us, per_second) in
        [(1_000_000, 1, 1.0), (2_500_000, 1, 2.0 / 3.0), (0, 8_000_000, 0.375)]
    {
        assert_eq!(event_rate(&times, 4_000_000, since, min_window_us), per_second, "{since}");
    }
}

#[test]
fn computes_means_and_quantiles() {
    for (values, expected_mean, rank, expected_quantile) in [
        ([].as_slice(), 0.0, 0.5, None),
        (&[7.0], 7.0, 0.5, Some(7.0)),
        (&[7.0], 7.0, 1.0, None),
        (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.5, Some(3.0)),
        (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.9, Some(4.0)),
        (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.0, Some(1.0)),
    ] {
        assert_eq!(mean(values.iter().copied()), expected_mean, "{values:?}");
        assert_eq!(quantile(values.iter().copied(), rank), expected_quantile, "{values:?} {rank}");
    }
}

#[test]
fn clamps_the_slope_of_an_increasing_line() {
    for (samples, intercept, slope) in [
        // Decreasing, flat, unchanged, and steeper than a line through the origin.
        (&[(1.0, 1.0, 7.0), (1.0, 3.0, 3.0)], 4.5, 0.25),
        (&[(1.0, 1.0, 5.0), (1.0, 3.0, 5.0)], 4.5, 0.25),
        (&[(1.0, 1.0, 4.0), (1.0, 3.0, 6.0)], 3.0, 1.0),
        (&[(1.0, 1.0, 1.0), (1.0, 3.0, 9.0)], 0.0, 2.5),
    ] {
        let line = LatencyFit { base: intercept, slope, mean: 5.0, weight: 2.0 };
        assert_eq!(fit_increasing_line(samples.iter().copied(), 0.1), line, "{samples:?}");
    }
}

#[test]
fn normalized_shares_respect_the_minimum() {
    for (weights, expected) in [
        (vec![], vec![]),
        (vec![0.0, 0.0], vec![0.0, 0.0]),
        (vec![3.0, 1.0], vec![0.75, 0.25]),
        (vec![0.0, 2.0], vec![0.0, 1.0]),
        (vec![99.0, 0.1], vec![0.909, 0.091]),
    ] {
        let rounded: Vec<f64> =
            normalize_shares(weights.clone(), 0.1).iter().map(|share| (share * 1e3).round() / 1e3).collect();
        assert_eq!(rounded, expected, "{weights:?}");
    }
}
