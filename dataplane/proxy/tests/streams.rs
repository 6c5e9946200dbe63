//! Streams: events are passed on as they arrive, and a broken stream is truncated or resumed.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::{
    Harness, SETTLE_TIME, Script, Step, body, chunk, chunks, event, header, last_chunk, play, post,
    post_with, rejected, status, stream_head, write,
};
use quickcheck::quickcheck;
use tokio::time::{Instant, sleep};

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

fn stream(ids: impl IntoIterator<Item = u64>) -> Script {
    let mut script = vec![stream_head()];
    script.extend(ids.into_iter().map(|id| chunk(&event(id))));
    script
}

fn complete_stream(ids: impl IntoIterator<Item = u64>) -> Script {
    let mut script = stream(ids);
    script.push(last_chunk());
    script
}

fn text_of(step: Step) -> String {
    match step {
        Step::Write(text) => text,
        _ => String::new(),
    }
}

#[test]
fn events_are_passed_on_as_they_arrive() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.extend([Step::Wait(Duration::from_millis(200)), chunk(&event(2)), Step::Hang]);
        harness.upstreams.script(script);
        let mut client = harness.client();
        client.send(&post("/stream/x")).await;
        let first = client.receive_for(SETTLE_TIME).await;
        assert_eq!(status(&first), 200);
        assert_eq!(chunks(&first), (event(1), false));
        sleep(Duration::from_millis(200)).await;
        assert!(client.receive_for(SETTLE_TIME).await.contains(&event(2)));
    });
}

#[test]
fn a_stream_ends_as_its_upstream_ends_it() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(complete_stream(1..=9));
        let got = harness.ask(&post("/stream/x")).await;
        assert_eq!(chunks(&got), (events(1..=9), true));
        assert!(header(&got, "whinspindle-server-stamp").is_some());
        // The connection stays open.
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 1);
    });
}

#[test]
fn a_partial_event_is_held_back_and_the_broken_stream_is_truncated() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1, 2]);
        script.extend([chunk("id: 3\nda"), Step::Close]);
        harness.upstreams.script(script);
        let got = harness.ask(&post("/stream/x")).await;
        assert_eq!(chunks(&got), (events([1, 2]), false));
        assert_eq!(harness.upstreams.requests().len(), 1);
    });
}

#[test]
fn a_stream_that_breaks_before_its_first_event_has_no_answer_yet() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![stream_head(), chunk("id: 1\n"), Step::Close]);
        let got = harness.ask(&post("/stream/x")).await;
        assert_eq!(status(&got), 502);
        assert_eq!(header(&got, "whinspindle-server-stamp"), None);
    });
}

#[test]
fn a_resumable_stream_continues_inside_the_same_answer() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1, 2]);
        script.extend([chunk("id: 3\nda"), Step::Close]);
        harness.upstreams.script(script);
        harness.upstreams.script(complete_stream(3..=5));
        let got = harness.ask(&post("/resumable/x")).await;
        assert_eq!(chunks(&got), (events(1..=5), true));
        let sent = harness.upstreams.requests();
        assert_eq!(header(&sent[0], "last-event-id"), None);
        assert_eq!(header(&sent[1], "last-event-id").as_deref(), Some("2"));
        assert_ne!(
            header(&sent[0], "whinspindle-expect-instance"),
            header(&sent[1], "whinspindle-expect-instance")
        );
    });
}

#[test]
fn the_last_event_id_of_the_client_is_passed_on() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![stream_head(), Step::Close]);
        harness.upstreams.script(complete_stream([13, 14]));
        let got = harness.ask(&post_with("/resumable/x", "Last-Event-Id: 12\r\n")).await;
        assert_eq!(chunks(&got), (events([13, 14]), true));
        for sent in harness.upstreams.requests() {
            assert_eq!(header(&sent, "last-event-id").as_deref(), Some("12"));
        }
    });
}

#[test]
fn a_resumed_run_that_does_not_fit_truncates_the_stream() {
    for ids in [vec![2, 3], vec![1, 2, 3], vec![5, 6]] {
        play(async {
            let harness = Harness::new();
            let mut script = stream([1, 2]);
            script.push(Step::Close);
            harness.upstreams.script(script);
            harness.upstreams.script(complete_stream(ids.clone()));
            let got = harness.ask(&post("/resumable/x")).await;
            assert_eq!(chunks(&got), (events([1, 2]), false), "{ids:?}");
        });
    }
}

#[test]
fn a_stream_resumes_after_the_events_that_were_passed_on() {
    play(async {
        let harness = Harness::new();
        let spoilt = [chunk(&event(2)), chunk(&events([3, 3]))];
        let mut script = stream([1]);
        script.push(Step::Wait(SETTLE_TIME));
        script.push(write(spoilt.map(text_of).concat()));
        harness.upstreams.script(script);
        harness.upstreams.script(complete_stream(3..=5));
        let got = harness.ask(&post("/resumable/x")).await;
        assert_eq!(chunks(&got), (events(1..=5), true));
        let sent = harness.upstreams.requests();
        assert_eq!(header(&sent[1], "last-event-id").as_deref(), Some("2"));
    });
}

#[test]
fn a_resumable_stream_runs_on_no_more_upstreams_than_its_route_says() {
    play(async {
        let harness = Harness::new();
        for ids in [[1, 2], [3, 4], [5, 6]] {
            let mut script = stream(ids);
            script.push(Step::Close);
            harness.upstreams.script(script);
        }
        let got = harness.ask(&post("/resumable/x")).await;
        assert_eq!(chunks(&got), (events(1..=4), false));
        assert_eq!(harness.upstreams.requests().len(), 2);
    });
}

#[test]
fn a_rejected_resumption_goes_to_another_upstream() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.push(Step::Close);
        harness.upstreams.script(script);
        harness.upstreams.script(rejected());
        harness.upstreams.script(complete_stream([2]));
        assert_eq!(chunks(&harness.ask(&post("/resumable/x")).await), (events([1, 2]), true));
    });
}

#[test]
fn a_silent_resumable_stream_is_resumed_before_the_client_timeout() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.push(Step::Hang);
        harness.upstreams.script(script);
        harness.upstreams.script(complete_stream([2]));
        let start = Instant::now();
        let got = harness.ask(&post("/resumable/x").replace("3000", "15000")).await;
        assert_eq!(chunks(&got), (events([1, 2]), true));
        // The client's time-out is four times the latency target.
        assert!(start.elapsed() < Duration::from_millis(4 * 600), "{:?}", start.elapsed());
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 1);
    });
}

#[test]
fn a_silent_stream_is_truncated_at_its_deadline() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.push(Step::Hang);
        harness.upstreams.script(script);
        let start = Instant::now();
        let got = harness.ask(&post("/stream/x")).await;
        assert_eq!(chunks(&got), (event(1), false));
        let held = start.elapsed();
        assert!(held >= Duration::from_millis(2900) && held < Duration::from_millis(3000), "{held:?}");
    });
}

#[test]
fn a_disconnect_ends_a_stream() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.push(Step::Hang);
        harness.upstreams.script(script);
        let mut client = harness.client();
        client.send(&post("/stream/x")).await;
        client.receive_for(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 1);
        drop(client);
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 0);
    });
}

#[test]
fn a_new_configuration_does_not_truncate_streams() {
    play(async {
        let harness = Harness::new();
        let mut script = stream([1]);
        script.extend([Step::Wait(Duration::from_secs(1)), chunk(&event(2)), last_chunk()]);
        harness.upstreams.script(script);
        let mut client = harness.client();
        client.send(&post("/stream/x")).await;
        sleep(SETTLE_TIME).await;
        let other = r#"{"generation": 8, "routes": [], "services": [], "limits": {"max_header_bytes": 16384,
            "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;
        harness.configure(2, other);
        assert_eq!(chunks(&client.answer().await), (events([1, 2]), true));
        assert_eq!(status(&harness.ask(&post("/stream/x")).await), 404);
    });
}

quickcheck! {
    /// For any chunk boundaries, complete events are passed on in order, and only an ended stream is
    /// complete.
    fn chunk_boundaries_of_a_stream_do_not_matter(lengths: Vec<u8>, cuts: Vec<usize>, ended: bool) -> bool {
        let mut text = String::new();
        for (id, length) in lengths.iter().enumerate() {
            text += &format!("id: {}\ndata: {}\n\n", id + 1, "x".repeat(usize::from(*length)));
        }
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let mut script = vec![stream_head()];
        for pair in places.windows(2).filter(|pair| pair[0] < pair[1]) {
            script.extend([chunk(&text[pair[0]..pair[1]]), Step::Wait(Duration::from_millis(1))]);
        }
        script.push(if ended { last_chunk() } else { Step::Close });
        let fits = std::rc::Rc::new(std::cell::Cell::new(false));
        let outcome = std::rc::Rc::clone(&fits);
        let expected = text.clone();
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(script);
            let got = harness.ask(&post("/stream/x")).await;
            let fit = match (ended, expected.is_empty()) {
                (true, true) => (status(&got), body(&got)) == (200, ""),
                (true, false) => chunks(&got) == (expected, true),
                (false, true) => status(&got) == 502,
                (false, false) => chunks(&got) == (expected, false),
            };
            outcome.set(fit);
        });
        fits.get()
    }
}
