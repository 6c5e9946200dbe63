use super::*;

#[test]
fn stale_connection_before_the_complete_request_is_a_local_error() {
    for (is_stale_connection, progress, is_local) in [
        (true, Progress::NotStarted, true),
        (true, Progress::Partial, true),
        (true, Progress::Complete, false),
        (false, Progress::NotStarted, false),
        (false, Progress::Partial, false),
    ] {
        let error = ExchangeError {
            progress,
            cause: Cause::Stalled,
            is_stale_connection,
            response_started: !is_stale_connection,
        };
        assert_eq!(error.is_local(), is_local, "{error:?}");
    }
}
