//! The engine of an upstream: batches, cached parts of prompts, memory, urgency, deadlines.

use quickcheck::{QuickCheck, TestResult};
use whinspindle_lab_serving::engine::{
    Engine, EngineSettings, Progress, PromptPart, Rejected, Work, WorkId, chain_of,
};

const NO_DEADLINE: u64 = u64::MAX;

/// A step takes 10 ms and 1 ms for each request; a prompt token takes 0.1 ms.
fn settings() -> EngineSettings {
    EngineSettings {
        slots: 4,
        queue: 2,
        memory_tokens: 1_000,
        step_us: 10_000.0,
        step_us_per_request: 1_000.0,
        step_us_per_thousand_tokens: 0.0,
        prompt_tokens_per_ms: 10.0,
        prompt_tokens_per_step: 100,
        tokens_per_event: 4,
    }
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

fn work(id: WorkId, prompt: &[PromptPart], output_tokens: u64) -> Work {
    Work {
        id,
        urgency: 5,
        prompt: prompt.to_vec(),
        output_tokens,
        skipped_events: 0,
        deadline_us: NO_DEADLINE,
    }
}

/// Progress with the time of the step that brought it.
type Timed = (u64, Progress);

fn run(engine: &mut Engine, now_us: &mut u64) -> Vec<Timed> {
    let mut all = Vec::new();
    loop {
        all.extend(engine.advance(*now_us).into_iter().map(|progress| (*now_us, progress)));
        match engine.next_step_us() {
            Some(next) => *now_us = next,
            None => return all,
        }
    }
}

fn event_times(progress: &[Timed], wanted: WorkId) -> Vec<u64> {
    let is_event = |progress: &Progress| matches!(progress, Progress::Event { work, .. } if *work == wanted);
    progress.iter().filter(|(_, progress)| is_event(progress)).map(|(at, _)| *at).collect()
}

fn event_ids(progress: &[Timed], wanted: WorkId) -> Vec<u64> {
    let id = |progress: &Progress| match progress {
        Progress::Event { work, id, .. } if *work == wanted => Some(*id),
        _ => None,
    };
    progress.iter().filter_map(|(_, progress)| id(progress)).collect()
}

fn missing_tokens(progress: &[Timed], wanted: WorkId) -> Vec<u64> {
    let missing = |progress: &Progress| match progress {
        Progress::Admitted { work, missing, .. } if *work == wanted => {
            Some(missing.iter().map(|part| part.tokens).sum())
        }
        _ => None,
    };
    progress.iter().filter_map(|(_, progress)| missing(progress)).collect()
}

#[test]
fn a_prompt_is_read_in_pieces_and_then_each_step_brings_a_token() {
    let mut engine = Engine::new(settings());
    engine.submit(work(1, &[part(1, 150)], 6)).unwrap();
    let progress = run(&mut engine, &mut 0);
    // 11 + 10 ms read the first 100 tokens, 11 + 5 ms the others and bring the first token, then 11 ms a token.
    assert!(progress.contains(&(37_000, Progress::Started { work: 1 })));
    assert_eq!(event_times(&progress, 1), [37_000 + 3 * 11_000, 37_000 + 5 * 11_000]);
    assert_eq!(event_ids(&progress, 1), [1, 2]);
    let last = progress.last().unwrap();
    assert_eq!(last.1, Progress::Event { work: 1, id: 2, last: true });
}

#[test]
fn steps_grow_with_the_batch() {
    let finish = |requests: u64| {
        let mut engine = Engine::new(settings());
        for id in 0..requests {
            engine.submit(work(id, &[], 4)).unwrap();
        }
        let mut now = 0;
        run(&mut engine, &mut now);
        now
    };
    assert_eq!(finish(1), 4 * 11_000);
    assert_eq!(finish(4), 4 * 14_000);
}

#[test]
fn a_part_is_reused_only_behind_the_same_parts() {
    let mut engine = Engine::new(settings());
    let mut now = 0;
    engine.submit(work(1, &[part(1, 60), part(2, 40), part(3, 10)], 1)).unwrap();
    run(&mut engine, &mut now);
    engine.submit(work(2, &[part(1, 60), part(2, 40), part(4, 10)], 1)).unwrap();
    engine.submit(work(3, &[part(2, 40)], 1)).unwrap();
    let progress = run(&mut engine, &mut now);
    assert_eq!(missing_tokens(&progress, 2), [10]);
    assert_eq!(missing_tokens(&progress, 3), [40]);
}

#[test]
fn the_least_recently_used_parts_give_way() {
    let mut engine = Engine::new(settings());
    let mut now = 0;
    for (id, shared) in [(1, 1), (2, 2), (3, 1), (4, 3)] {
        engine.submit(work(id, &[part(shared, 400)], 1)).unwrap();
        run(&mut engine, &mut now);
    }
    assert!(engine.held_tokens() <= 1_000);
    engine.submit(work(5, &[part(1, 400)], 1)).unwrap();
    engine.submit(work(6, &[part(2, 400)], 1)).unwrap();
    let progress = run(&mut engine, &mut now);
    assert_eq!(missing_tokens(&progress, 5), [0], "used again before the third prompt came");
    assert_eq!(missing_tokens(&progress, 6), [400]);
}

#[test]
fn work_beyond_the_queue_is_rejected() {
    let mut engine = Engine::new(settings());
    for id in 0..6 {
        assert_eq!(engine.submit(work(id, &[], 4)), Ok(()));
    }
    assert_eq!(engine.submit(work(6, &[], 4)), Err(Rejected::QueueFull));
    engine.advance(0);
    let load = engine.load();
    assert_eq!((load.running, load.queued), (4, 2));
    assert_eq!(engine.submit(work(7, &[], 4)), Err(Rejected::QueueFull));
    engine.cancel(0);
    assert_eq!(engine.submit(work(8, &[], 4)), Ok(()));
}

#[test]
fn work_larger_than_the_memory_is_rejected() {
    let mut engine = Engine::new(settings());
    assert_eq!(engine.submit(work(1, &[part(1, 990)], 11)), Err(Rejected::LargerThanMemory));
    assert_eq!(engine.submit(work(2, &[part(1, 990)], 10)), Ok(()));
}

#[test]
fn the_more_urgent_takes_the_place_of_another() {
    let mut engine = Engine::new(EngineSettings { slots: 1, ..settings() });
    engine.submit(work(1, &[], 20)).unwrap();
    engine.advance(0);
    engine.advance(5 * 11_000);
    engine.submit(Work { urgency: 0, ..work(2, &[], 4) }).unwrap();
    let mut now = 5 * 11_000;
    let progress = run(&mut engine, &mut now);
    let put_back = progress.iter().position(|(_, progress)| *progress == Progress::PutBack { work: 1 });
    let urgent = progress.iter().position(|(_, p)| matches!(p, Progress::Event { work: 2, .. }));
    assert!(put_back.unwrap() < urgent.unwrap());
    assert_eq!(event_ids(&progress, 1), [2, 3, 4, 5], "the stream goes on where it stopped");
}

#[test]
fn the_newest_is_put_back_when_memory_runs_out() {
    let mut engine = Engine::new(settings());
    engine.submit(work(1, &[part(1, 450)], 80)).unwrap();
    engine.submit(work(2, &[part(2, 450)], 80)).unwrap();
    let progress = run(&mut engine, &mut 0);
    assert!(progress.iter().any(|(_, progress)| *progress == Progress::PutBack { work: 2 }));
    assert!(!progress.iter().any(|(_, progress)| *progress == Progress::PutBack { work: 1 }));
    let expected: Vec<u64> = (1..=20).collect();
    assert_eq!(event_ids(&progress, 1), expected);
    assert_eq!(event_ids(&progress, 2), expected);
}

#[test]
fn a_resumed_answer_goes_on_behind_its_last_event() {
    let mut engine = Engine::new(settings());
    engine.submit(Work { skipped_events: 2, ..work(1, &[part(1, 10)], 18) }).unwrap();
    let progress = run(&mut engine, &mut 0);
    assert_eq!(event_ids(&progress, 1), [3, 4, 5]);
    // The skipped 8 tokens are read along with the prompt: 11 + 1.8 ms.
    assert!(progress.contains(&(12_800, Progress::Started { work: 1 })));
}

#[test]
fn late_work_expires_in_the_queue_and_in_the_batch() {
    let mut engine = Engine::new(EngineSettings { slots: 1, ..settings() });
    engine.submit(Work { deadline_us: 50_000, ..work(1, &[], 100) }).unwrap();
    engine.submit(Work { deadline_us: 20_000, ..work(2, &[], 4) }).unwrap();
    let progress = run(&mut engine, &mut 0);
    let expired: Vec<Timed> =
        progress.into_iter().filter(|(_, progress)| matches!(progress, Progress::Expired { .. })).collect();
    let expected = [
        (22_000, Progress::Expired { work: 2, started: false }),
        (55_000, Progress::Expired { work: 1, started: true }),
    ];
    assert_eq!(expired, expected);
}

#[test]
fn keys_of_parts_depend_on_all_parts_before_them() {
    let first = chain_of(&[part(1, 10), part(3, 10)]);
    let second = chain_of(&[part(2, 10), part(3, 10)]);
    assert_ne!(first[1].key, second[1].key);
    assert_eq!(first[1].parent, Some(first[0].key));
    assert_eq!(first[0].key, chain_of(&[part(1, 10)])[0].key);
}

/// Whatever comes: memory is never over its bound, each answer is whole and in order, and the engine comes to rest.
#[test]
fn every_answer_is_whole_whatever_comes() {
    fn holds(requests: Vec<(u8, u8, u8, u8)>) -> TestResult {
        let mut engine = Engine::new(EngineSettings { queue: 1_000, ..settings() });
        let mut now = 0;
        let mut progress: Vec<Timed> = Vec::new();
        for (index, (shared, own, output, urgency)) in requests.iter().enumerate() {
            let prompt = [part(u64::from(shared % 4), 200), part(1_000 + index as u64, u64::from(*own))];
            let output_tokens = u64::from(*output) + 1;
            let request = Work { urgency: urgency % 3, ..work(index as u64, &prompt, output_tokens) };
            engine.submit(request).unwrap();
            now += u64::from(*own) * 500;
            progress.extend(engine.advance(now).into_iter().map(|progress| (now, progress)));
            if engine.held_tokens() > 1_000 {
                return TestResult::error("more tokens than memory");
            }
        }
        progress.extend(run(&mut engine, &mut now));
        for (index, (_, _, output, _)) in requests.iter().enumerate() {
            let events = (u64::from(*output) + 1).div_ceil(4);
            let expected: Vec<u64> = (1..=events).collect();
            if event_ids(&progress, index as u64) != expected {
                return TestResult::failed();
            }
        }
        TestResult::from_bool(engine.load().used_tokens == 0)
    }
    QuickCheck::new().tests(200).quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>) -> TestResult);
}
