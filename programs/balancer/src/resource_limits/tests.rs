use super::*;

#[test]
fn divided_resources_stay_within_the_limits() {
    for (memory_mb, sockets, expected) in [
        (192, 1024, (576, 384, 504)),
        (32, 1024, (576, 384, 128)),
        (8, 40, (10, 6, 9)),
        (2048, 4096, (2304, 1536, 2016)),
    ] {
        let ResourceLimits { accepted, upstream, queries, long_answers } =
            ResourceLimits::divide(Limits { memory_mb, sockets });
        assert_eq!((accepted, upstream, queries), expected);
        assert!(accepted + upstream + 24 <= sockets as usize && queries < accepted);
        assert!(2 * queries * MAX_BODY_BYTES + long_answers <= (3 * memory_mb as usize) << 18);
    }
}
