use super::*;

#[test]
fn patience_ends_before_the_program_is_killed() {
    for (longest, patience, ago, least, most) in [
        (3_000, 3_000, None, 3_000, 3_000),
        (3_000, 3_000, Some(1_850), 1_000, 1_650),
        (3_000, 900, Some(500), 900, 900),
        (3_000, 900, Some(9_000), 0, 0),
        // Of a statement timeout that is longer, only so much is left before the kill.
        (5_000, 5_000, None, 5_000, 5_000),
        (5_000, 5_000, Some(0), 3_000, 3_500),
        (800, 800, Some(500), 500, 800),
    ] {
        let shutdown = Shutdown::new(longest * 1000);
        shutdown.requested.set(ago.map(|ms| Instant::now() - Duration::from_millis(ms)));
        let remaining = shutdown.limit_patience(patience * 1000) / 1000;
        assert!((least..=most).contains(&remaining), "{longest} {patience} {ago:?}: {remaining}");
    }
}
