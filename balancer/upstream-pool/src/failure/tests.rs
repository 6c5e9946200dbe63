use super::*;

#[test]
fn a_connection_that_was_gone_is_no_fault_of_its_server() {
    for (stale, progress, own) in [
        (true, Progress::Nothing, true),
        (true, Progress::Begun, true),
        (true, Progress::Complete, false),
        (false, Progress::Nothing, false),
        (false, Progress::Begun, false),
    ] {
        let failure = Failure { progress, cause: Cause::Stalled, stale, answered: !stale };
        assert_eq!(failure.is_own(), own, "{failure:?}");
    }
}
