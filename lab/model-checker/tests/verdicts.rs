//! Good builds are let through, and bad ones halted while few units carry them.

use whinspindle_lab_model_checker::verdicts::{BUILDS, Build, Fleet, play};

#[test]
fn false_halts_are_as_rare_as_stated_and_bad_builds_touch_few_units() {
    for fleet in [
        Fleet { units: 24, zones: 3, members: 9, rate: 30.0, own: 1.0, error: 0.01 },
        Fleet { units: 9, zones: 1, members: 3, rate: 4.0, own: 1.0, error: 0.05 },
        Fleet { units: 100, zones: 4, members: 12, rate: 10.0, own: 1.0, error: 0.01 },
    ] {
        for build in BUILDS {
            let plays = if build == Build::Good { 200 } else { 40 };
            let ends: Vec<_> = (0..plays).map(|seed| play(&fleet, build, seed)).collect();
            let halted: Vec<_> = ends.iter().filter(|end| end.halted).collect();
            let mut touched: Vec<usize> = halted.iter().map(|end| end.touched).collect();
            touched.sort_unstable();
            let mut after: Vec<f64> = halted.iter().map(|end| end.after).collect();
            after.sort_by(f64::total_cmp);
            println!(
                "{} units, {}/s, {build:?}: {} of {plays} halted, units {:?} (worst {:?}), {:?} s after",
                fleet.units,
                fleet.rate,
                halted.len(),
                touched.get(touched.len() / 2),
                touched.last(),
                after.get(after.len() / 2),
            );
            if build == Build::Good {
                // The chance of more than this at the stated rate is under one in a thousand.
                let most = if fleet.error > 0.02 { 21 } else { 8 };
                assert!(halted.len() <= most, "{} false halts", halted.len());
                assert!(ends.iter().any(|end| !end.halted && end.touched == fleet.units));
            } else {
                // A slow leak outlasts a release of few units: with most of them changed there is little to
                // compare with.
                let few = build == Build::Leaks && fleet.units < 20;
                assert!(halted.len() == plays as usize || few && halted.len() > 5, "{fleet:?}, {build:?}");
                // What leaks shows when it has leaked; the others at the first unit.
                let most = if build == Build::Leaks { fleet.units } else { 1 };
                assert!(touched[touched.len() / 2] <= most, "{touched:?}");
            }
        }
    }
}
