use super::*;

const START: u64 = 1_000_000;
const TICK_MS: u64 = 50;
const ZONE: &str = "zone-a";

const EVACUATED: ZoneEvacuation = ZoneEvacuation { sequence: 7, is_evacuated: true };
const SUBMIT: Admission = Admission::Submit { observed_sequence: 7 };
const CONFIRM: Admission = Admission::Confirm { sequence: 7 };

/// Passes time with regular events.
fn pass(admission: &mut EvacuationAdmission, from: u64, span_ms: u64) -> u64 {
    for now in (from..=from + span_ms).step_by(TICK_MS as usize) {
        admission.observe_time(now);
    }
    from + span_ms
}

/// Admits a begin and a finish of an evacuated zone, some time after the change and after a pause.
#[test]
fn commands_that_revert_a_recent_change_need_confirmation() {
    // Time since the change, pause after that, time after the pause; outcome of a finish.
    let cases = [
        (0, 0, 0, CONFIRM),
        (10_000, 0, 0, CONFIRM),
        (CONFIRMATION_WINDOW_MS, 0, 0, SUBMIT),
        (2_000, 400, 0, CONFIRM),
        (2_000, 600, 0, Admission::Reject),
        (2_000, 600, 950, Admission::Reject),
        (2_000, 600, 1_000, CONFIRM),
        (2_000, 3_400, 3_350, Admission::Reject),
        (2_000, 3_400, 3_400, CONFIRM),
        (2_000, 30_000, 3_950, Admission::Reject),
        (2_000, 30_000, 4_000, CONFIRM),
        (2_000, CONFIRMATION_WINDOW_MS, 0, SUBMIT),
    ];
    for (index, (since_change, pause, since_pause, finish)) in cases.into_iter().enumerate() {
        let mut admission = EvacuationAdmission::new(START);
        admission.observe_record(START, ZONE, EVACUATED.sequence);
        let paused_at = pass(&mut admission, START, since_change);
        let now = pass(&mut admission, paused_at + pause, since_pause);
        assert_eq!(admission.admit(now, ZONE, false, EVACUATED), finish, "case {index}");
        assert_eq!(admission.admit(now, ZONE, true, EVACUATED), SUBMIT, "case {index}: changes nothing");
    }
}

/// A record that a controller learns of after a pause is recent, however old it is elsewhere.
#[test]
fn record_learned_after_a_pause_is_recent() {
    let mut admission = EvacuationAdmission::new(START);
    admission.observe_record(START, ZONE, EVACUATED.sequence - 1);
    let now = START + 2 * CONFIRMATION_WINDOW_MS;
    admission.observe_time(now);
    admission.observe_record(now, ZONE, EVACUATED.sequence);
    assert_eq!(admission.admit(now, ZONE, false, EVACUATED), Admission::Reject);
    let now = pass(&mut admission, now, 4_000);
    admission.observe_record(now, ZONE, EVACUATED.sequence);
    assert_eq!(admission.admit(now, ZONE, false, EVACUATED), CONFIRM);
}
