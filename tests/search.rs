//! The search for better shares, and samples that lose weight with time.

use std::cell::Cell;
use std::collections::VecDeque;

use whinspindle::pcg::Pcg;
use whinspindle::samples::decay_weighted;
use whinspindle::search::{SearchSettings, minimize_cost};

const MOVES: SearchSettings = SearchSettings { attempts: 10, max_step: 0.1, min_share: 0.02 };

#[test]
fn a_search_costs_the_start_and_each_try_once() {
    let asked = Cell::new(0);
    let cost = |_: &[f64]| {
        asked.set(asked.get() + 1);
        0.0
    };
    let best = minimize_cost(&mut Pcg::new(1), &[0.5, 0.5], &[0, 1], &MOVES, cost);
    assert_eq!((best, asked.get()), (vec![0.5, 0.5], 11));
}

#[test]
fn a_sample_loses_half_of_its_weight_in_each_half_life() {
    let samples = VecDeque::from([(0, 1.0, 2.0), (10, 3.0, 4.0), (20, 5.0, 6.0)]);
    let weighted: Vec<_> = decay_weighted(&samples, 20, 10).collect();
    assert_eq!(weighted, [(0.25, 1.0, 2.0), (0.5, 3.0, 4.0), (1.0, 5.0, 6.0)]);
}

#[test]
fn a_search_moves_a_step_at_most_and_keeps_the_sum_and_the_floor() {
    let start = [0.3, 0.05, 0.65];
    for seed in 0..200 {
        let best = minimize_cost(&mut Pcg::new(seed), &start, &[0, 1, 2], &MOVES, |shares| -shares[1]);
        let sum: f64 = best.iter().sum();
        assert!((sum - 1.0).abs() < 1e-9 && best[1] >= start[1], "{seed}: {best:?}");
        for (old, new) in start.iter().zip(&best) {
            assert!((old - new).abs() <= 0.1 + 1e-9 && *new >= 0.02 - 1e-9, "{seed}: {best:?}");
        }
    }
}
