use super::*;

#[test]
fn lines_of_a_second_are_limited_and_counted() {
    let gate = RateLimiter::new();
    for (second, open) in [
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
        assert_eq!(gate.admit_in(second), open);
    }
}
