//! Whole fleets in virtual time.

use whinspindle_fleet_policy::ChangeOutcome;
use whinspindle_lab_model_checker::sizes::{Fleet, measure, refused, schedule};

#[test]
fn a_change_reaches_the_last_member_at_every_size_and_under_loss() {
    for fleet in [
        Fleet::plain(3, 1),
        Fleet::plain(31, 1),
        Fleet { loss: 0.1, ..Fleet::plain(9, 1) },
        Fleet { text: 64 * 1024, loss: 0.1, ..Fleet::plain(9, 2) },
        Fleet { down: 0.34, ..Fleet::plain(31, 3) },
        Fleet { cut: 0.34, ..Fleet::plain(31, 4) },
    ] {
        let measured = measure(&fleet).expect("no promise is broken");
        println!("{fleet:?}\n  {measured:?}");
        assert!(measured.to_last.is_some(), "{fleet:?}");
    }
}

#[test]
fn drawn_schedules_break_nothing() {
    let changes: u64 = (0..40).map(|seed| schedule(seed).expect("no promise is broken")).sum();
    assert!(changes > 80, "{changes} changes");
}

#[test]
fn what_one_of_forty_cannot_prove_takes_hold_nowhere() {
    for (objects, loss) in [(0, 0.0), (17, 0.0), (39, 0.1)] {
        let fleet = Fleet { objects: Some(objects), loss, ..Fleet::plain(40, 5) };
        assert_eq!(refused(&fleet), Ok(Some(ChangeOutcome::Refused(objects))));
    }
}
