use super::*;

#[test]
fn limits_lines_per_second_and_counts_suppressed_ones() {
    let limiter = RateLimiter::new();
    for (second, expected) in [
        (0, Some(0)),
        (0, Some(0)),
        (0, Some(0)),
        (0, Some(0)),
        (0, Some(0)),
        (0, None),
        (0, None),
        (1, Some(2)),
        (1, Some(0)),
    ] {
        assert_eq!(limiter.admit_in(second), expected);
    }
}
