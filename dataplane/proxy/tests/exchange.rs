//! Exchanges with complete answers: forwarding, passing back, and retries.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::{
    Harness, ID, REUSE_DELAY, SETTLE_TIME, STAMP, Step, answer, body, header, misdirected, play, post,
    post_with, rejected, served, status, write,
};
use tokio::time::{Instant, sleep, timeout};

#[test]
fn a_request_and_its_answer_pass_unchanged() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("the bytes"));
        let got = harness.ask(&post_with("/unsafe/x//y?q=%20a&b", "X-Other: 1\r\nTE: trailers\r\n")).await;
        assert_eq!(status(&got), 200);
        assert_eq!(header(&got, "whinspindle-server-stamp").as_deref(), Some(STAMP));
        assert_eq!(header(&got, "whinspindle-request-id").as_deref(), Some(ID));
        assert_eq!(header(&got, "keep-alive"), None);
        assert_eq!(body(&got), "the bytes");
        let sent = &harness.upstreams.requests()[0];
        assert!(sent.starts_with("POST /unsafe/x//y?q=%20a&b HTTP/1.1\r\n"), "{sent}");
        assert_eq!(body(sent), "hello");
        assert_eq!(header(sent, "host").as_deref(), Some("a.example"));
        assert_eq!(header(sent, "x-other").as_deref(), Some("1"));
        assert_eq!(header(sent, "te"), None);
        assert!(header(sent, "whinspindle-expect-instance").is_some_and(|id| id.starts_with("plain-")));
        let left: u64 = header(sent, "whinspindle-deadline-ms").expect("a deadline").parse().expect("ms");
        assert!((2900..3000).contains(&left), "{left}");
    });
}

#[test]
fn a_body_in_chunks_is_forwarded_with_its_length() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("ok"));
        let request = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {ID}\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        );
        assert_eq!(status(&harness.ask(&request).await), 200);
        let sent = &harness.upstreams.requests()[0];
        assert_eq!(body(sent), "hello");
        assert_eq!(header(sent, "content-length").as_deref(), Some("5"));
        assert_eq!(header(sent, "transfer-encoding"), None);
    });
}

#[test]
fn a_request_with_two_lengths_is_rejected_with_what_follows() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("no"));
        let hidden = post("/unsafe/hidden");
        let request = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        );
        let got = harness.ask(&request).await;
        assert_eq!(status(&got), 400);
        sleep(REUSE_DELAY).await;
        assert_eq!(harness.upstreams.requests().len(), 0);
    });
}

#[test]
fn a_request_with_two_lengths_is_detected_behind_another() {
    let hidden = post("/unsafe/hidden");
    let ambiguous = format!(
        "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    for wait in [Duration::ZERO, Duration::from_millis(5)] {
        play(async {
            let harness = Harness::new();
            let mut slow = served("first");
            slow.insert(0, Step::Wait(Duration::from_millis(10)));
            harness.upstreams.script(slow);
            harness.upstreams.default_script(served("no"));
            let mut client = harness.client();
            let first = post("/unsafe/x");
            if wait.is_zero() {
                client.send(&format!("{first}{ambiguous}")).await;
            } else {
                client.send(&first).await;
                sleep(wait).await;
                client.send(&ambiguous).await;
            }
            let got = client.receive_for(REUSE_DELAY).await;
            assert!(got.contains("first") && got.contains("HTTP/1.1 400 "), "{got}");
            assert_eq!(harness.upstreams.requests().len(), 1, "{wait:?}");
        });
    }
}

#[test]
fn no_request_is_served_after_one_with_an_unknown_end() {
    let hidden = "POST /unsafe/hidden HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\
                  Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let padded =
        post("/unsafe/x").replace("Content-Length: 5", &format!("Content-Length:{}5", " ".repeat(300)));
    play(async {
        let harness = Harness::new();
        harness.upstreams.default_script(served("ok"));
        let mut client = harness.client();
        client.send(&format!("{padded}{hidden}")).await;
        let got = client.receive_for(REUSE_DELAY).await;
        assert_eq!((status(&got), header(&got, "connection").as_deref()), (200, Some("close")), "{got}");
        assert_eq!(harness.upstreams.requests().len(), 1);
        assert!(client.is_closed().await);
    });
}

#[test]
fn an_answer_in_another_coding_than_chunked_is_not_passed_on() {
    let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\n");
    for coding in ["identity", "gzip, chunked", "gzip"] {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(vec![
                write(format!(
                    "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\n{stamp}\
                     Transfer-Encoding: {coding}\r\n\r\n2\r\nxx\r\n0\r\n\r\n"
                )),
                Step::Close,
            ]);
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!((status(&got), body(&got)), (502, ""), "{coding}");
        });
    }
}

#[test]
fn answers_without_a_body_are_passed_on_complete() {
    let head = |status: &str, length: &str| {
        vec![write(format!(
            "HTTP/1.1 {status}\r\nWhinspindle-Request-Id: {{id}}\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
             {length}\r\n"
        ))]
    };
    let cases = [
        ("HEAD", "200 OK", "Content-Length: 26\r\n"),
        ("HEAD", "200 OK", "Transfer-Encoding: chunked\r\n"),
        ("HEAD", "200 OK", ""),
        ("GET", "204 No Content", ""),
        ("GET", "204 No Content", "Content-Length: 0\r\n"),
        ("GET", "204 No Content", "Content-Length: 5\r\n"),
        ("GET", "204 No Content", "Transfer-Encoding: chunked\r\n"),
        ("GET", "200 OK", "Content-Length: 0\r\nContent-Length: 0\r\n"),
    ];
    for (method, code, length) in cases {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(head(code, length));
            let mut client = harness.client();
            client
                .send(&format!(
                    "{method} /unsafe/x HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {ID}\r\n\r\n"
                ))
                .await;
            let got = client.receive_for(REUSE_DELAY).await;
            assert!(code.starts_with(&status(&got).to_string()), "{method} {length}: {got}");
            assert_eq!(body(&got), "", "{method} {length}");
            harness.upstreams.script(served("next"));
            client.send(&post("/unsafe/x")).await;
            assert_eq!(body(&client.answer().await), "next", "{method} {length}");
        });
    }
}

#[test]
fn invalid_bytes_after_a_request_are_not_forwarded() {
    for surplus in ["what is this\r\n\r\n", "\r\n\r\nhello", "POST /unsafe/x", "hello\0\0"] {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(served("first"));
            harness.upstreams.default_script(served("no"));
            let mut client = harness.client();
            client.send(&format!("{}{surplus}", post("/unsafe/x"))).await;
            let got = client.receive_for(REUSE_DELAY).await;
            let (first, rest) = got.split_at(got.find("first").expect("the answer") + "first".len());
            assert_eq!((status(first), header(first, "whinspindle-request-id").as_deref()), (200, Some(ID)));
            assert!(rest.is_empty() || status(rest) == 400, "{surplus:?}: {rest}");
            assert_eq!(harness.upstreams.requests().len(), 1, "{surplus:?}");
        });
    }
}

#[test]
fn a_stream_is_not_sent_to_a_client_of_http_1_0() {
    let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\nContent-Type: text/event-stream\r\n");
    let head = format!(
        "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\n{stamp}Transfer-Encoding: chunked\r\n\r\n"
    );
    let event = common::event(1);
    for path in ["/safe/x", "/unsafe/x", "/stream/x"] {
        play(async {
            let harness = Harness::new();
            harness.upstreams.default_script(vec![
                write(format!("{head}{:x}\r\n{event}\r\n", event.len())),
                Step::Wait(SETTLE_TIME),
                Step::Close,
            ]);
            let got = harness.ask(&post(path).replace("HTTP/1.1", "HTTP/1.0")).await;
            assert!(matches!(status(&got), 502 | 505), "{path}: {got}");
            assert_eq!(body(&got), "", "{path}");
        });
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    play(async {
        let harness = Harness::new();
        let mut slow = served("first");
        slow.insert(0, Step::Wait(Duration::from_millis(10)));
        harness.upstreams.script(slow);
        harness.upstreams.script(served("second"));
        let mut client = harness.client();
        let other = "eeeeeeeeeeeeeee5";
        client.send(&[post("/unsafe/x"), post("/unsafe/x").replace(ID, other)].concat()).await;
        let got = client.receive_for(REUSE_DELAY).await;
        let answers: Vec<&str> = got.split("HTTP/1.1 200 OK").skip(1).collect();
        assert_eq!(answers.len(), 2, "{got}");
        assert!(answers[0].contains(ID) && answers[0].ends_with("first"), "{got}");
        assert!(answers[1].contains(other) && answers[1].ends_with("second"), "{got}");
    });
}

#[test]
fn the_priority_of_a_route_is_forwarded_to_engines() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("ok"));
        harness.upstreams.script(served("ok"));
        harness.ask(&post("/stream/x")).await;
        harness.ask(&post("/unsafe/x")).await;
        let sent = harness.upstreams.requests();
        assert_eq!(header(&sent[0], "priority").as_deref(), Some("1"));
        assert_eq!(header(&sent[1], "priority"), None);
    });
}

#[test]
fn the_proxy_answers_invalid_requests_itself() {
    play(async {
        let empty = Harness::empty();
        let got = empty.ask(&post("/unsafe/x")).await;
        assert_eq!(status(&got), 503);
        assert!(header(&got, "retry-after").is_some());
        let harness = Harness::new();
        assert_eq!(status(&harness.ask(&post("/none/x")).await), 404);
        assert_eq!(status(&harness.ask(&post("/unsafe/x").replace("a.example", "b.example")).await), 404);
        let long = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1001\r\n\r\n{}",
            "x".repeat(1001)
        );
        assert_eq!(status(&harness.ask(&long).await), 413);
        assert_eq!(harness.upstreams.requests().len(), 0);
    });
}

#[test]
fn requests_wait_for_a_process_that_has_just_started() {
    play(async {
        let harness = Harness::empty();
        harness.upstreams.script(served("ok"));
        let informed = async {
            sleep(Duration::from_millis(600)).await;
            harness.apply_defaults();
        };
        let began = Instant::now();
        let request = post("/unsafe/x");
        let (got, ()) = tokio::join!(harness.ask(&request), informed);
        assert_eq!(status(&got), 200);
        assert!(began.elapsed() < Duration::from_millis(650), "{:?}", began.elapsed());
    });
}

#[test]
fn requests_do_not_wait_after_the_startup_period() {
    play(async {
        let harness = Harness::empty();
        sleep(Duration::from_millis(1_000)).await;
        let began = Instant::now();
        assert_eq!(status(&harness.ask(&post("/unsafe/x")).await), 503);
        assert!(began.elapsed() < REUSE_DELAY, "at once");
    });
}

#[test]
fn a_request_waits_for_a_start_only_for_a_fraction_of_its_time() {
    play(async {
        let harness = Harness::empty();
        let began = Instant::now();
        let request = post("/unsafe/x").replace("Deadline-Ms: 3000", "Deadline-Ms: 1200");
        let got = harness.ask(&request).await;
        assert_eq!(status(&got), 503);
        assert!(began.elapsed() <= Duration::from_millis(310), "{:?}", began.elapsed());
    });
}

#[test]
fn a_request_that_may_have_run_is_not_retried() {
    let unstamped = vec![answer("200 OK", "", "x")];
    let other_id = vec![write(format!(
        "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: b2\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
         Content-Length: 1\r\n\r\nx"
    ))];
    let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\n");
    let encoded = vec![answer("200 OK", &format!("{stamp}Content-Encoding: gzip\r\n"), "x")];
    let unpromised = vec![answer("503 Service Unavailable", &stamp, "")];
    let cut = vec![
        write(format!(
            "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\n{stamp}Content-Length: 9\r\n\r\nx"
        )),
        Step::Close,
    ];
    let endless = vec![
        write(format!("HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\n{stamp}\r\nx")),
        Step::Close,
    ];
    let scripts =
        [vec![Step::Close], vec![write("no answer\r\n\r\n")], unstamped, other_id, encoded, unpromised];
    for script in scripts.into_iter().chain([cut, endless]) {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(script.clone());
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!(status(&got), 502, "{script:?}");
            assert_eq!(header(&got, "whinspindle-server-stamp"), None);
            assert_eq!(harness.upstreams.requests().len(), 1, "{script:?}");
            sleep(SETTLE_TIME).await;
            assert_eq!(harness.upstreams.open(), 0, "{script:?}");
        });
    }
}

#[test]
fn a_safe_request_is_retried_at_another_upstream() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![Step::Close]);
        harness.upstreams.script(served("second"));
        let got = harness.ask(&post("/safe/x")).await;
        assert_eq!((status(&got), body(&got)), (200, "second"));
        let sent = harness.upstreams.requests();
        let expected = |number: usize| header(&sent[number], "whinspindle-expect-instance");
        assert_ne!(expected(0), expected(1));
        assert_eq!(header(&sent[0], "whinspindle-request-id"), header(&sent[1], "whinspindle-request-id"));
    });
}

#[test]
fn a_safe_request_runs_on_no_more_upstreams_than_its_route_says() {
    play(async {
        let harness = Harness::new();
        (0..3).for_each(|_| harness.upstreams.script(vec![Step::Close]));
        assert_eq!(status(&harness.ask(&post("/safe/x")).await), 502);
        assert_eq!(harness.upstreams.requests().len(), 2);
    });
}

#[test]
fn a_request_that_did_not_run_is_retried_at_another_upstream() {
    for script in [rejected(), misdirected()] {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(script);
            harness.upstreams.script(served("second"));
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!((status(&got), body(&got)), (200, "second"));
        });
    }
}

#[test]
fn a_rejection_counts_without_its_body() {
    for code in ["503 Service Unavailable", "421 Misdirected Request"] {
        let head = format!(
            "HTTP/1.1 {code}\r\nWhinspindle-Request-Id: {{id}}\r\nWhinspindle-Not-Run: 1\r\n\
             Content-Length: 5\r\n\r\n"
        );
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(vec![write(head), Step::Hang]);
            harness.upstreams.script(served("second"));
            let start = Instant::now();
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!((status(&got), body(&got)), (200, "second"), "{code}");
            assert!(start.elapsed() < REUSE_DELAY, "{:?}", start.elapsed());
        });
    }
}

#[test]
fn a_request_that_did_not_run_at_all_is_rejected_with_retry_after() {
    play(async {
        let harness = Harness::new();
        (0..3).for_each(|_| harness.upstreams.script(rejected()));
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!(status(&got), 503);
        assert_eq!(header(&got, "whinspindle-not-run"), None);
        let pause: f64 = header(&got, "retry-after").expect("a pause").parse().expect("seconds");
        assert!(pause > 0.0 && pause < 1.0, "{pause}");
        assert_eq!(harness.upstreams.requests().len(), 2);
    });
}

#[test]
fn failures_of_upstreams_are_passed_back_unchanged() {
    let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\n");
    for code in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found", "400 Bad Request"] {
        play(async {
            let harness = Harness::new();
            harness.upstreams.script(vec![answer(code, &stamp, "why")]);
            let got = harness.ask(&post("/unsafe/x")).await;
            assert!(code.starts_with(&status(&got).to_string()), "{got}");
            assert_eq!(header(&got, "whinspindle-server-stamp").as_deref(), Some(STAMP));
            assert_eq!(body(&got), "why");
            assert_eq!(harness.upstreams.requests().len(), 1);
        });
    }
}

#[test]
fn the_failure_of_the_last_upstream_is_passed_back_if_no_other_serves() {
    play(async {
        let harness = Harness::new();
        let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\n");
        (0..2).for_each(|_| harness.upstreams.script(vec![answer("500 Oh", &stamp, "why")]));
        let got = harness.ask(&post("/safe/x")).await;
        assert_eq!((status(&got), body(&got)), (500, "why"));
        assert_eq!(harness.upstreams.requests().len(), 2);
    });
}

#[test]
fn a_refused_connection_does_not_count_as_a_run() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.refusals.set(2);
        harness.upstreams.script(served("third"));
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!((status(&got), body(&got)), (200, "third"));
        harness.upstreams.refusals.set(100);
        sleep(Duration::from_secs(10)).await;
        harness.node.tick();
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!(status(&got), 503);
        assert_eq!(harness.upstreams.requests().len(), 1);
    });
}

#[test]
fn only_attempts_that_may_have_arrived_count_as_retries() {
    play(async {
        let harness = Harness::without_retries();
        harness.upstreams.refusals.set(1);
        harness.upstreams.script(served("second"));
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!((status(&got), body(&got)), (200, "second"));
        harness.upstreams.script(rejected());
        harness.upstreams.script(served("third"));
        assert_eq!(status(&harness.ask(&post("/unsafe/x")).await), 503);
        assert_eq!(harness.upstreams.requests().len(), 2);
    });
}

#[test]
fn a_connect_times_out_early() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.connect_time.set(Duration::from_secs(60));
        let start = Instant::now();
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!(status(&got), 503);
        assert!(start.elapsed() < Duration::from_millis(2000), "{:?}", start.elapsed());
    });
}

#[test]
fn an_instance_that_is_draining_after_the_connect_gets_nothing() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.connect_time.set(Duration::from_millis(100));
        let mut client = harness.client();
        client.send(&post("/unsafe/x")).await;
        sleep(Duration::from_millis(50)).await;
        harness.instances(2, &["plain-1", "plain-2", "plain-3"]);
        let got = client.answer().await;
        assert_eq!(status(&got), 503);
        assert_eq!(harness.upstreams.requests().len(), 0);
    });
}

#[test]
fn a_silent_upstream_is_waited_for_until_the_deadline() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![Step::Hang]);
        let start = Instant::now();
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!(status(&got), 504);
        let held = start.elapsed();
        assert!(held >= Duration::from_millis(2900) && held < Duration::from_millis(3000), "{held:?}");
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 0);
    });
}

#[test]
fn the_timeout_of_a_route_bounds_a_request() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![Step::Hang]);
        let start = Instant::now();
        let got = harness.ask(&post("/unsafe/x").replace("Deadline-Ms: 3000", "Deadline-Ms: 30000")).await;
        assert_eq!(status(&got), 504);
        let held = start.elapsed();
        assert!(held >= Duration::from_millis(3900) && held < Duration::from_millis(4100), "{held:?}");
    });
}

#[test]
fn a_disconnect_ends_the_exchange() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![Step::Hang]);
        let mut client = harness.client();
        client.send(&post("/unsafe/x")).await;
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 1);
        drop(client);
        sleep(SETTLE_TIME).await;
        assert_eq!(harness.upstreams.open(), 0);
    });
}

#[test]
fn connections_are_reused_after_a_delay() {
    play(async {
        let harness = Harness::new();
        harness.instances(2, &["plain-2", "plain-3"]);
        for _ in 0..5 {
            harness.upstreams.script(served("ok"));
            assert_eq!(status(&harness.ask(&post("/unsafe/x")).await), 200);
            sleep(REUSE_DELAY).await;
        }
        assert_eq!(harness.upstreams.connections(), 1);
        // Longer than 70% of the upstream's keep-alive time of 5 s.
        sleep(Duration::from_millis(3600)).await;
        harness.upstreams.script(served("ok"));
        assert_eq!(status(&harness.ask(&post("/unsafe/x")).await), 200);
        assert_eq!(harness.upstreams.connections(), 2);
    });
}

#[test]
fn a_connection_with_a_surplus_answer_is_not_reused() {
    let surplus = format!(
        "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {ID}\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
         Content-Length: 2\r\n\r\nno"
    );
    for wait in [Duration::ZERO, Duration::from_millis(10)] {
        play(async {
            let harness = Harness::new();
            harness.instances(2, &["plain-2", "plain-3"]);
            let mut script = served("ok");
            script.extend([Step::Wait(wait), write(surplus.clone())]);
            harness.upstreams.script(script);
            assert_eq!(body(&harness.ask(&post("/unsafe/x")).await), "ok");
            sleep(REUSE_DELAY).await;
            harness.upstreams.script(served("mine"));
            assert_eq!(body(&harness.ask(&post("/unsafe/x")).await), "mine");
            assert_eq!(harness.upstreams.connections(), 2);
        });
    }
}

#[test]
fn an_idle_connection_that_the_upstream_closed_is_skipped() {
    play(async {
        let harness = Harness::new();
        harness.instances(2, &["plain-2", "plain-3"]);
        let mut script = served("ok");
        script.extend([Step::Wait(Duration::from_millis(30)), Step::Close]);
        harness.upstreams.script(script);
        assert_eq!(status(&harness.ask(&post("/unsafe/x")).await), 200);
        sleep(REUSE_DELAY).await;
        harness.upstreams.script(served("again"));
        assert_eq!(body(&harness.ask(&post("/unsafe/x")).await), "again");
    });
}

#[test]
fn a_client_may_reuse_its_connection() {
    play(async {
        let harness = Harness::new();
        let mut client = harness.client();
        for _ in 0..3 {
            harness.upstreams.script(served("ok"));
            client.send(&post("/unsafe/x")).await;
            assert_eq!(body(&client.answer().await), "ok");
            // 80% of the idle time-out.
            harness.pass(Duration::from_secs(12)).await;
        }
        harness.pass(Duration::from_secs(17)).await;
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_shorter_idle_timeout_does_not_close_connections_early() {
    play(async {
        let harness = Harness::new();
        let mut client = harness.client();
        harness.pass(Duration::from_secs(1)).await;
        for (sequence, idle) in [(2, "1000"), (3, "2000")] {
            let shorter = common::CONFIGURATION
                .replace("\"generation\": 7", &format!("\"generation\": {}", sequence + 7))
                .replace("\"idle_timeout_ms\": 15000", &format!("\"idle_timeout_ms\": {idle}"));
            harness.configure(sequence, &shorter);
        }
        harness.pass(Duration::from_secs(11)).await;
        harness.upstreams.script(served("ok"));
        client.send(&post("/unsafe/x")).await;
        assert_eq!(body(&client.answer().await), "ok");
    });
}

#[test]
fn a_head_that_never_ends_is_dropped() {
    play(async {
        let harness = Harness::new();
        let mut client = harness.client();
        client.send("POST /unsafe/x HTTP/1.1\r\nHost: a.exa").await;
        harness.pass(Duration::from_secs(2)).await;
        assert!(!client.is_closed().await);
        harness.pass(Duration::from_secs(3)).await;
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_proxy_in_shutdown_serves_and_closes_connections() {
    play(async {
        let harness = Harness::new();
        let mut slow = served("slow");
        slow.insert(0, Step::Wait(Duration::from_secs(4)));
        let (mut idle, mut busy) = (harness.client(), harness.client());
        harness.upstreams.script(served("ok"));
        idle.send(&post("/unsafe/x")).await;
        idle.answer().await;
        assert!(harness.node.is_ready());
        harness.upstreams.script(slow);
        busy.send(&post("/stream/x").replace("3000", "9000")).await;
        sleep(SETTLE_TIME).await;
        harness.node.shutdown.request();
        assert!(!harness.node.is_ready());
        harness.upstreams.script(served("late"));
        let late = harness.ask(&post("/unsafe/x")).await;
        assert_eq!((status(&late), body(&late)), (200, "late"));
        assert_eq!(header(&late, "connection").as_deref(), Some("close"));
        sleep(Duration::from_secs(3)).await;
        let ended = whinspindle_proxy::clients::finish(&harness.node, &harness.clients);
        timeout(Duration::from_secs(3), async { tokio::join!(ended, busy.answer()) })
            .await
            .map(|(_, got)| assert_eq!(body(&got), "slow"))
            .expect("all ended in time");
        assert!(idle.is_closed().await);
    });
}

#[test]
fn a_request_with_an_incomplete_head_is_served_in_shutdown() {
    play(async {
        let harness = Harness::new();
        let request = post("/unsafe/x");
        let (first, rest) = request.split_at(40);
        let mut client = harness.client();
        client.send(first).await;
        sleep(SETTLE_TIME).await;
        harness.node.shutdown.request();
        harness.upstreams.script(served("ok"));
        let ended = whinspindle_proxy::clients::finish(&harness.node, &harness.clients);
        let asking = async {
            sleep(Duration::from_millis(300)).await;
            client.send(rest).await;
            client.answer().await
        };
        let (_, got) = tokio::join!(ended, asking);
        assert_eq!((status(&got), body(&got)), (200, "ok"));
    });
}
