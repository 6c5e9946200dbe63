//! What the judge of a fleet calls broken, shown with answers made up for it.

use std::time::{Duration, Instant};

use whinspindle_lab_fault_proxies::{Seen, judged};

/// When a member answered, in tenths of a second, and with which limit.
type Answers<'a> = &'a [(u64, u64)];

#[test]
fn the_judge_finds_each_broken_promise_and_no_other() {
    let begun = Instant::now();
    // The window is a second.
    let cases: &[(&str, &[Answers], &str)] = &[
        ("both change", &[&[(0, 11), (9, 12)], &[(0, 11), (12, 12)]], ""),
        ("the old within the window", &[&[(0, 11), (9, 12)], &[(18, 11), (21, 12)]], ""),
        ("the old beyond the window", &[&[(0, 11), (9, 12)], &[(0, 11), (21, 11)]], "decides by 1"),
        ("a way back", &[&[(0, 11), (9, 12), (10, 11)], &[]], "goes back"),
        ("three at once", &[&[(0, 11), (2, 12), (7, 13)], &[(8, 11)]], "decides by 1"),
        ("one that was refused", &[&[(0, 11), (2, 14)], &[]], "never came into force"),
        ("numbers in another order than limits", &[&[(0, 12), (1, 13), (2, 15)], &[]], ""),
    ];
    for (what, answers, broken) in cases {
        let seen: Vec<Vec<Seen>> = answers
            .iter()
            .map(|of| {
                let one = |(at, limit): &(u64, u64)| Seen {
                    sent: begun + Duration::from_millis(100 * at),
                    answered: begun + Duration::from_millis(100 * at + 10),
                    limit: Some(*limit),
                    rejected: false,
                };
                of.iter().map(one).collect()
            })
            .collect();
        let number = |limit: u64| match limit {
            14 => None,
            15 => Some(9),
            limit => Some(limit - 10),
        };
        let said = judged(&seen, Duration::from_secs(1), number);
        match said {
            Ok(()) => assert_eq!(*broken, "", "{what}"),
            Err(words) => assert!(!broken.is_empty() && words.contains(broken), "{what}: {words}"),
        }
    }
}
