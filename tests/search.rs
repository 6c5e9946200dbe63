//! The local search for shares, and the decay of sample weights.

use std::cell::Cell;
use std::collections::VecDeque;

use whinspindle::pcg::Pcg;
use whinspindle::samples::decay_weighted;
use whinspindle::search::{SearchSettings, minimize_cost};

const SETTINGS: SearchSettings = SearchSettings { attempts: 10, max_step: 0.1, min_share: 0.02 };

#[test]
fn search_evaluates_the_start_and_each_attempt_once() {
    let cost_calls = Cell::new(0);
    let cost = |_: &[f64]| {
        cost_calls.set(cost_calls.get() + 1);
        0.0
    };
    let best = minimize_cost(&mut Pcg::new(1), &[0.5, 0.5], &[0, 1], &SETTINGS, cost);
    assert_eq!((best, cost_calls.get()), (vec![0.5, 0.5], 11));
}

#[test]
fn sample_weight_halves_per_half_life() {
    let samples = VecDeque::from([(0, 1.0, 2.0), (10, 3.0, 4.0), (20, 5.0, 6.0)]);
    let weighted: Vec<_> = decay_weighted(&samples, 20, 10).collect();
    assert_eq!(weighted, [(0.25, 1.0, 2.0), (0.5, 3.0, 4.0), (1.0, 5.0, 6.0)]);
}

#[test]
fn search_respects_step_sum_and_minimum_share() {
    let start = [0.3, 0.05, 0.65];
    for seed in 0..200 {
        let best = minimize_cost(&mut Pcg::new(seed), &start, &[0, 1, 2], &SETTINGS, |shares| -shares[1]);
        let sum: f64 = best.iter().sum();
        assert!((sum - 1.0).abs() < 1e-9 && best[1] >= start[1], "{seed}: {best:?}");
        for (before, after) in start.iter().zip(&best) {
            assert!((before - after).abs() <= 0.1 + 1e-9 && *after >= 0.02 - 1e-9, "{seed}: {best:?}");
        }
    }
}
