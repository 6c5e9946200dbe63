//! Unusual and invalid requests: each request gets its own answer.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod common;

use std::time::Duration;

use common::{
    Client, Harness, ID, REUSE_DELAY, SETTLE_TIME, STAMP, Script, Step, answer, body, chunk, chunks, event,
    header, last_chunk, play, post, post_with, served, status, stream_head, write,
};
use tokio::time::sleep;

/// Time-out of the routes without streaming.
const TIMEOUT_MS: u64 = 4000;

fn with_deadline(value: &str) -> String {
    post("/unsafe/x").replace("Whinspindle-Deadline-Ms: 3000", &format!("Whinspindle-Deadline-Ms: {value}"))
}

fn forwarded_deadline(request: &str) -> u64 {
    header(request, "whinspindle-deadline-ms").expect("a deadline").parse().expect("a whole number")
}

#[test]
fn an_invalid_deadline_counts_as_the_route_timeout() {
    let numbers = ["-1", "3000.5", "1e3", "soon", "", "18446744073709551616", "0x10", "3000, 2000"];
    for value in numbers {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(served("ok"));
            let got = harness.ask(&with_deadline(value)).await;
            assert_eq!(status(&got), 200, "{value}");
            let told = forwarded_deadline(&harness.upstreams.requests()[0]);
            assert!((TIMEOUT_MS - 100..TIMEOUT_MS).contains(&told), "{value}: {told}");
        });
    }
}

#[test]
fn a_deadline_beyond_all_bounds_counts_as_the_route_timeout() {
    for value in ["4001000", "18446744073709551615", " 9223372036854775807 "] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(served("ok"));
            assert_eq!(status(&harness.ask(&with_deadline(value)).await), 200, "{value}");
            let told = forwarded_deadline(&harness.upstreams.requests()[0]);
            assert!((TIMEOUT_MS - 100..TIMEOUT_MS).contains(&told), "{value}: {told}");
        });
    }
}

#[test]
fn a_request_whose_deadline_has_passed_is_rejected_and_not_forwarded() {
    for value in ["0", "1", "40", "000"] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.default_script(served("no"));
            let got = harness.ask(&with_deadline(value)).await;
            assert_eq!(status(&got), 503, "{value}: {got}");
            sleep(REUSE_DELAY).await;
            assert_eq!(harness.upstreams.requests().len(), 0, "{value}");
        });
    }
}

#[test]
fn a_deadline_that_is_given_twice_is_forwarded_once() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("ok"));
        let twice = with_deadline("3000\r\nWhinspindle-Deadline-Ms: 9000");
        assert_eq!(status(&harness.ask(&twice).await), 200);
        let sent = harness.upstreams.requests()[0].to_ascii_lowercase();
        assert_eq!(sent.matches("whinspindle-deadline-ms").count(), 1, "{sent}");
        assert!(forwarded_deadline(&sent) < 3000);
    });
}

#[test]
fn the_last_event_id_of_a_client_is_forwarded_unchanged() {
    for value in ["-1", "abc", "18446744073709551616", "1, 2", ""] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(vec![stream_head(), chunk(&event(3)), last_chunk()]);
            let got = harness.ask(&post_with("/resumable/x", &format!("Last-Event-Id: {value}\r\n"))).await;
            assert_eq!(chunks(&got), (event(3), true), "{value}");
            assert_eq!(header(&harness.upstreams.requests()[0], "last-event-id").as_deref(), Some(value));
        });
    }
}

/// Invalid or oversized prompt headers, on many concurrent requests.
#[test]
fn a_prompt_that_cannot_be_parsed_does_not_stop_its_request() {
    let counts = ["-1", "4294967295,4294967295", "99999999999999999999,1", "a,b,c", ",", "1;2"];
    let parts = ["", ":", "1:", ":1", "ffffffffffffffffff:1", "1:4294967295,2:4294967295,3:1", "1:-1", ",,,"];
    for (tokens, prefix) in
        counts.iter().flat_map(|tokens| parts.iter().map(move |prefix| (*tokens, *prefix)))
    {
        play(async move {
            let harness = Harness::new();
            let slow = vec![Step::Wait(REUSE_DELAY), stream_head(), chunk(&event(1)), last_chunk()];
            harness.upstreams.default_script(slow);
            let headers =
                format!("Whinspindle-Token-Count: {tokens}\r\nWhinspindle-Prefix-Hash: {prefix}\r\n");
            let mut clients: Vec<Client> = (0..8).map(|_| harness.client()).collect();
            for client in &mut clients {
                client.send(&post_with("/stream/x", &headers)).await;
            }
            for client in &mut clients {
                assert_eq!(chunks(&client.answer().await), (event(1), true), "{tokens} {prefix}");
            }
            for sent in harness.upstreams.requests() {
                assert_eq!(header(&sent, "whinspindle-token-count").as_deref(), Some(tokens));
                assert_eq!(header(&sent, "whinspindle-prefix-hash").as_deref(), Some(prefix));
            }
        });
    }
}

#[test]
fn a_head_beyond_the_limit_is_rejected_in_any_chunks() {
    let pad = "x".repeat(1000);
    let headers: String = (0..17).map(|number| format!("X-{number}: {pad}\r\n")).collect();
    let request = post_with("/unsafe/x", &headers);
    for piece in [1, 1000, 8192, request.len()] {
        let request = request.clone();
        play(async move {
            let harness = Harness::new();
            harness.upstreams.default_script(served("no"));
            let mut client = harness.client();
            for bytes in request.as_bytes().chunks(piece) {
                client.send_ignoring_close(std::str::from_utf8(bytes).expect("text")).await;
                if piece > 1 {
                    sleep(SETTLE_TIME).await;
                }
            }
            let got = client.receive_for(REUSE_DELAY).await;
            assert_eq!(status(&got), 431, "{piece}: {got}");
            sleep(REUSE_DELAY).await;
            assert_eq!(harness.upstreams.requests().len(), 0, "{piece}");
        });
    }
}

#[test]
fn a_head_within_the_limit_passes_in_any_chunks() {
    let pad = "x".repeat(1000);
    let headers: String = (0..15).map(|number| format!("X-{number}: {pad}\r\n")).collect();
    let request = post_with("/unsafe/x", &headers);
    for piece in [7, 1000, request.len()] {
        let request = request.clone();
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(served("ok"));
            let mut client = harness.client();
            for bytes in request.as_bytes().chunks(piece) {
                client.send(std::str::from_utf8(bytes).expect("text")).await;
                tokio::task::yield_now().await;
            }
            assert_eq!(body(&client.answer().await), "ok", "{piece}");
            assert_eq!(header(&harness.upstreams.requests()[0], "x-14").map(|value| value.len()), Some(1000));
        });
    }
}

#[test]
fn expect_continue_is_answered_and_not_forwarded() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(served("ok"));
        let request = post_with("/unsafe/x", "Expect: 100-continue\r\n");
        let (head, rest) = request.split_at(request.len() - 5);
        let mut client = harness.client();
        client.send(head).await;
        assert_eq!(client.receive_for(SETTLE_TIME).await, "HTTP/1.1 100 Continue\r\n\r\n");
        client.send(rest).await;
        assert_eq!(body(&client.answer().await), "ok");
        let sent = &harness.upstreams.requests()[0];
        assert_eq!((header(sent, "expect"), body(sent)), (None, "hello"));
    });
}

#[test]
fn a_body_that_is_too_long_gets_no_continue() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.default_script(served("no"));
        let request = post_with("/unsafe/x", "Expect: 100-continue\r\n").replace("Length: 5", "Length: 1001");
        let mut client = harness.client();
        client.send(request.trim_end_matches("hello")).await;
        let got = client.receive_for(REUSE_DELAY).await;
        assert_eq!(status(&got), 413, "{got}");
        // Bytes that the client sends as the rejected body must not be handled as a request.
        client.send_ignoring_close(&post("/unsafe/hidden")).await;
        assert_eq!(client.receive_for(REUSE_DELAY).await, "");
        assert_eq!(harness.upstreams.requests().len(), 0);
    });
}

#[test]
fn chunks_with_extensions_and_trailers_are_forwarded_as_one_body() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.default_script(served("ok"));
        let request = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {ID}\r\nTrailer: X-Last\r\n\
             Transfer-Encoding: chunked\r\n\r\n3;a=b;c=\"d e\"\r\nhel\r\n02 ; x\r\nlo\r\n0;last\r\n\
             Whinspindle-Request-Id: another\r\nX-Last: 1\r\n\r\n"
        );
        let mut client = harness.client();
        for path in ["/unsafe/x", "/unsafe/y"] {
            client.send(&request.replace("/unsafe/x", path)).await;
            assert_eq!(body(&client.answer().await), "ok");
            sleep(REUSE_DELAY).await;
        }
        for sent in harness.upstreams.requests() {
            assert_eq!((body(&sent), header(&sent, "content-length").as_deref()), ("hello", Some("5")));
            assert_eq!(header(&sent, "whinspindle-request-id").as_deref(), Some(ID));
            assert!(!sent.contains("another") && !sent.to_ascii_lowercase().contains("x-last"), "{sent}");
        }
    });
}

/// Pipelined requests of a client that then closes its side, which is handled as a disconnect.
#[test]
fn a_client_that_closes_its_side_gets_no_answer_of_another_request() {
    play(async {
        let harness = Harness::new();
        harness.upstreams.script(vec![
            Step::Wait(REUSE_DELAY),
            answer("200 OK", "Whinspindle-Server-Stamp: a\r\n", "one"),
        ]);
        harness.upstreams.script(served("two"));
        let mut client = harness.client();
        client.send(&format!("{}{}", post("/unsafe/1"), post("/unsafe/2"))).await;
        sleep(SETTLE_TIME).await;
        client.end().await;
        assert_eq!(client.receive_for(SETTLE_TIME).await, "", "it is taken for one that has left");
        sleep(REUSE_DELAY * 2).await;
        assert!(harness.upstreams.requests().len() <= 1, "nothing is begun for it any more");
        assert_eq!(harness.upstreams.open(), 0);
    });
}

/// Headers that the proxy sets, also when the client sends headers of the same names.
#[test]
fn headers_that_the_proxy_sets_replace_those_of_the_client_and_others_pass() {
    let own = "Whinspindle-Expect-Instance: i-evil\r\nPriority: 9\r\nX-Twice: 1\r\nX-Twice: 2\r\nCookie: a=b\r\n\
               Accept-Encoding: gzip\r\nVersions: 3\r\nWhinspindle-Not-Run: 1\r\nConnection: X-Hop, keep-alive\r\n\
               X-Hop: 1\r\n";
    for (path, service, priority) in [("/unsafe/x", "plain-", "9"), ("/stream/x", "model-", "1")] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.script(served("ok"));
            assert_eq!(status(&harness.ask(&post_with(path, own)).await), 200);
            let sent = harness.upstreams.requests()[0].to_ascii_lowercase();
            let mut names: Vec<&str> = sent
                .split("\r\n\r\n")
                .next()
                .into_iter()
                .flat_map(|head| head.lines().skip(1))
                .filter_map(|line| Some(line.split_once(':')?.0))
                .collect();
            names.sort_unstable();
            let expected = [
                "accept-encoding",
                "content-length",
                "cookie",
                "host",
                "priority",
                "versions",
                "whinspindle-deadline-ms",
                "whinspindle-expect-instance",
                "whinspindle-not-run",
                "whinspindle-request-id",
                "x-twice",
                "x-twice",
            ];
            assert_eq!(names, expected);
            assert_eq!(header(&sent, "priority").as_deref(), Some(priority), "{path}");
            assert!(header(&sent, "whinspindle-expect-instance").is_some_and(|id| id.starts_with(service)));
        });
    }
}

fn rejected_until(pause: &str) -> Script {
    let headers = format!("Whinspindle-Not-Run: 1\r\nRetry-After: {pause}\r\nKeep-Alive: timeout=5\r\n");
    vec![answer("503 Service Unavailable", &headers, "")]
}

#[test]
fn the_retry_after_of_upstreams_reaches_the_client_as_a_number() {
    for pause in ["0.25", "1e300", "NaN", "inf", "-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", ""] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.default_script(rejected_until(pause));
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!(status(&got), 503, "{pause}");
            let told: f64 = header(&got, "retry-after").expect("a pause").parse().expect("a number");
            assert!(told.is_finite() && told >= 0.0, "{pause}: {told}");
            assert_eq!(header(&got, "whinspindle-server-stamp"), None);
        });
    }
}

/// The address of an upstream is reassigned to another one between two requests on the same connection.
#[test]
fn an_instance_that_was_replaced_gets_no_more_attempts() {
    for path in ["/unsafe/x", "/safe/x"] {
        play(async move {
            let harness = Harness::new();
            harness.instances(2, &["plain-3"]);
            harness.upstreams.script(served("ok"));
            assert_eq!(body(&harness.ask(&post(path)).await), "ok");
            sleep(REUSE_DELAY).await;
            let other = answer("421 Misdirected Request", "Whinspindle-Instance-Id: i-x\r\n", "");
            harness.upstreams.script(vec![other]);
            harness.upstreams.default_script(served("elsewhere"));
            for _ in 0..6 {
                assert_eq!(body(&harness.ask(&post(path)).await), "elsewhere");
                sleep(REUSE_DELAY).await;
            }
            let asked: Vec<String> = harness
                .upstreams
                .requests()
                .iter()
                .filter_map(|request| header(request, "whinspindle-expect-instance"))
                .collect();
            let misdirected = &asked[1];
            assert!(asked[2..].iter().all(|id| id != misdirected), "{asked:?}");
        });
    }
}

#[test]
fn informational_heads_and_trailers_are_not_part_of_an_answer() {
    play(async {
        let harness = Harness::new();
        let early = "HTTP/1.1 103 Early Hints\r\nWhinspindle-Request-Id: other\r\nLink: </a>\r\n\r\n";
        harness.upstreams.script(vec![
            write(early.repeat(20)),
            Step::Wait(SETTLE_TIME),
            write(format!(
                "HTTP/1.1 200 OK\r\nWhinspindle-Request-Id: {{id}}\r\nWhinspindle-Server-Stamp: {STAMP}\r\n\
                 Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX-Sum: 1\r\n\
                 Whinspindle-Request-Id: other\r\n\r\n"
            )),
        ]);
        let got = harness.ask(&post("/unsafe/x")).await;
        assert_eq!((status(&got), body(&got)), (200, "ok"), "{got}");
        assert!(!got.contains("103") && !got.contains("other") && !got.contains("x-sum"), "{got}");
    });
}

/// HEAD requests are answered without a body, also in case of a failure.
#[test]
fn requests_for_a_head_alone_get_no_body() {
    for (script, expected) in [
        (
            vec![write(format!(
                "HTTP/1.1 500 Internal Server Error\r\nWhinspindle-Request-Id: {{id}}\r\n\
             Whinspindle-Server-Stamp: {STAMP}\r\nContent-Length: 7\r\n\r\n"
            ))],
            500,
        ),
        (rejected_until("0.1"), 503),
        (vec![Step::Close], 502),
    ] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.default_script(script);
            let head = format!(
                "HEAD /unsafe/x HTTP/1.1\r\nHost: a.example\r\nWhinspindle-Request-Id: {ID}\r\n\
                 Whinspindle-Deadline-Ms: 3000\r\n\r\n"
            );
            let mut client = harness.client();
            client.send(&head).await;
            let got = client.receive_for(Duration::from_millis(200)).await;
            assert_eq!((status(&got), body(&got)), (expected, ""), "{got}");
        });
    }
}

/// The HTTP library limits the number of headers.
#[test]
fn a_hundred_headers_pass_both_ways_and_more_are_rejected() {
    // Host, id, deadline and length are the others of the request; id, stamp and length those of the answer.
    for (extra, expected, sent) in [(96, 200, 1), (97, 431, 0)] {
        play(async move {
            let harness = Harness::new();
            harness.upstreams.default_script(served("ok"));
            let headers: String = (0..extra).map(|number| format!("X-{number}: 1\r\n")).collect();
            let got = harness.ask(&post_with("/unsafe/x", &headers)).await;
            assert_eq!(
                (status(&got), harness.upstreams.requests().len()),
                (expected, sent),
                "{extra}: {got}"
            );
        });
    }
    for (extra, expected) in [(97, 200), (98, 502)] {
        play(async move {
            let harness = Harness::new();
            let headers: String = (0..extra).map(|number| format!("X-{number}: 1\r\n")).collect();
            let stamp = format!("Whinspindle-Server-Stamp: {STAMP}\r\n");
            harness.upstreams.script(vec![answer("200 OK", &format!("{stamp}{headers}"), "ok")]);
            let got = harness.ask(&post("/unsafe/x")).await;
            assert_eq!(status(&got), expected, "{extra}: {got}");
        });
    }
}
