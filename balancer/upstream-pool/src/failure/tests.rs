use super::*;

#[test]
fn a_connection_that_was_gone_is_no_fault_of_its_server() {
    for (stale, progress, own) in [
        (true, Progress::NotStarted, true),
        (true, Progress::Partial, true),
        (true, Progress::Complete, false),
        (false, Progress::NotStarted, false),
        (false, Progress::Partial, false),
    ] {
        let failure = ExchangeError {
            progress,
            cause: Cause::Stalled,
            is_stale_connection: stale,
            response_started: !stale,
        };
        assert_eq!(failure.is_local(), own, "{failure:?}");
    }
}
