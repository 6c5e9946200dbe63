use super::*;

#[test]
fn rings_and_spans_let_go_of_what_is_old() {
    let (mut ring, mut times) = (VecDeque::new(), VecDeque::new());
    for (now, kept, counted) in [(10, [10].as_slice(), 1.0), (15, &[10, 15], 2.0), (30, &[15, 30], 1.0)] {
        push_bounded(&mut ring, 2, now);
        record_event(&mut times, now, 10);
        assert_eq!((ring.make_contiguous() as &[u64], times.len() as f64), (kept, counted), "{now}");
    }
    assert_eq!(count_recent(&mut times, 41, 10), 0.0);
}

#[test]
fn a_fit_goes_through_its_samples() {
    for (samples, slope, x, y, w) in [
        ([].as_slice(), 0.0, 0.0, 0.0, 0.0),
        (&[(2.0, 3.0, 5.0)], 0.0, 3.0, 5.0, 2.0),
        (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0)], 2.0, 2.0, 5.0, 2.0),
        // A sample without weight tells nothing.
        (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0), (0.0, 9.0, 0.0)], 2.0, 2.0, 5.0, 2.0),
    ] {
        assert_eq!(fit_line(samples.iter().copied()), (slope, x, y, w), "{samples:?}");
    }
}

#[test]
fn runs_end_when_full_or_old_and_the_least_mean_counts() {
    let mut runs = BatchMeans::new(0);
    // The time, how many samples of which length come then, and the least and the latest mean after them.
    for (now, count, sample, least, latest) in [
        (1, 63, 9.0, f64::MAX, f64::INFINITY),
        (2, 1, 9.0, 9.0, 9.0),
        (3, 7, 5.0, 9.0, 5.5),
        (40, 1, 5.0, 5.0, 5.0),
        (41, 64, 7.0, 5.0, 7.0),
    ] {
        (0..count).for_each(|_| runs.record(now, sample, 30));
        assert_eq!((runs.lowest_mean(), runs.latest_mean()), (least, latest), "{now}");
    }
}

#[test]
fn rates_count_from_then_on() {
    let times = VecDeque::from([1_000_000, 2_000_000, 3_000_000]);
    for (since, least, per_second) in [(1_000_000, 1, 1.0), (2_500_000, 1, 2.0 / 3.0), (0, 8_000_000, 0.375)]
    {
        assert_eq!(event_rate(&times, 4_000_000, since, least), per_second, "{since}");
    }
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
        assert_eq!(quantile(values.iter().copied(), rank), at, "{values:?} {rank}");
    }
}

#[test]
fn a_rising_line_is_never_flat_nor_steeper_than_one_through_the_origin() {
    for (samples, height, slope) in [
        // Falling, flat, as it is, and steeper than through the origin.
        (&[(1.0, 1.0, 7.0), (1.0, 3.0, 3.0)], 4.5, 0.25),
        (&[(1.0, 1.0, 5.0), (1.0, 3.0, 5.0)], 4.5, 0.25),
        (&[(1.0, 1.0, 4.0), (1.0, 3.0, 6.0)], 3.0, 1.0),
        (&[(1.0, 1.0, 1.0), (1.0, 3.0, 9.0)], 0.0, 2.5),
    ] {
        let line = LatencyFit { base: height, slope, mean: 5.0, weight: 2.0 };
        assert_eq!(fit_increasing_line(samples.iter().copied(), 0.1), line, "{samples:?}");
    }
}

#[test]
fn shares_add_up_and_keep_to_the_floor() {
    for (weights, expected) in [
        (vec![], vec![]),
        (vec![0.0, 0.0], vec![0.0, 0.0]),
        (vec![3.0, 1.0], vec![0.75, 0.25]),
        (vec![0.0, 2.0], vec![0.0, 1.0]),
        (vec![99.0, 0.1], vec![0.909, 0.091]),
    ] {
        let got: Vec<f64> =
            normalize_shares(weights.clone(), 0.1).iter().map(|share| (share * 1e3).round() / 1e3).collect();
        assert_eq!(got, expected, "{weights:?}");
    }
}
