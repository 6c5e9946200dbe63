//! Classification of answers by their heads.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use whinspindle_proxy::classify::{AnswerClass, Expected, classify};

const ID: (&str, &str) = ("whinspindle-request-id", "a1");
const OTHER_ID: (&str, &str) = ("whinspindle-request-id", "b2");
const STAMP: (&str, &str) = ("whinspindle-server-stamp", "3e1b.07");
const NOT_RUN: (&str, &str) = ("whinspindle-not-run", "1");
const ENCODED: (&str, &str) = ("content-encoding", "gzip");

type Headers<'a> = &'a [(&'static str, &'static str)];

fn class(status: u16, headers: Headers, is_fresh: bool) -> AnswerClass {
    let id = HeaderValue::from_static("a1");
    let request = Expected { id: Some(&id), instance: "i-1", has_expected_version: false, is_fresh };
    classify(&request, StatusCode::from_u16(status).expect("a status"), &map(headers))
}

fn map(headers: Headers) -> HeaderMap {
    let pairs = headers.iter();
    pairs.map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value))).collect()
}

#[test]
fn heads_are_classified() {
    use AnswerClass::{Failure, Misdirected, Rejected, Success, Unusable};
    let cases: &[(u16, Headers, AnswerClass)] = &[
        (200, &[ID, STAMP], Success),
        (200, &[ID], Unusable),
        (200, &[STAMP], Unusable),
        (200, &[OTHER_ID, STAMP], Unusable),
        (200, &[ID, STAMP, ENCODED], Unusable),
        (204, &[ID, STAMP], Success),
        (301, &[ID, STAMP], Unusable),
        (400, &[ID, NOT_RUN], Failure),
        (404, &[ID, STAMP], Failure),
        (500, &[ID, STAMP], Failure),
        (500, &[OTHER_ID, STAMP], Unusable),
        (504, &[ID, STAMP], Failure),
        (503, &[ID, NOT_RUN], Rejected),
        (429, &[ID, NOT_RUN], Rejected),
        (503, &[OTHER_ID, NOT_RUN], Unusable),
        (421, &[ID], Misdirected),
        (421, &[OTHER_ID], Unusable),
        // Statuses that say that the request has not run are passed back only if the upstream has confirmed
        // it.
        (503, &[ID, STAMP], Unusable),
        (503, &[ID], Unusable),
        (429, &[ID, STAMP], Unusable),
        (408, &[ID, STAMP], Unusable),
    ];
    for &(status, headers, expected) in cases {
        assert_eq!(class(status, headers, false), expected, "{status} {headers:?}");
        assert_eq!(class(status, headers, true), expected, "{status} {headers:?} on a fresh connection");
    }
}

#[test]
fn an_answer_without_an_id_counts_only_on_a_fresh_connection() {
    for (status, headers, expected) in
        [(503, &[NOT_RUN][..], AnswerClass::Rejected), (421, &[][..], AnswerClass::Misdirected)]
    {
        assert_eq!(class(status, headers, true), expected);
        assert_eq!(class(status, headers, false), AnswerClass::Unusable);
    }
}

#[test]
fn a_request_without_an_id_needs_an_answer_without_one() {
    let request = Expected { id: None, instance: "i-1", has_expected_version: false, is_fresh: false };
    let found = |headers| classify(&request, StatusCode::BAD_REQUEST, &map(headers));
    assert_eq!(found(&[NOT_RUN]), AnswerClass::Failure);
    assert_eq!(found(&[ID, NOT_RUN]), AnswerClass::Unusable);
}

#[test]
fn an_instance_with_other_weights_is_not_taken_for_another_instance() {
    let id = HeaderValue::from_static("a1");
    const SAME: (&str, &str) = ("whinspindle-instance-id", "i-1");
    const OTHER: (&str, &str) = ("whinspindle-instance-id", "i-2");
    let cases: &[(Headers, bool, AnswerClass)] = &[
        (&[ID, SAME], true, AnswerClass::Rejected),
        (&[ID, OTHER], true, AnswerClass::Misdirected),
        (&[ID, OTHER], false, AnswerClass::Misdirected),
        (&[ID], true, AnswerClass::Rejected),
        (&[ID], false, AnswerClass::Misdirected),
    ];
    for &(headers, has_expected_version, expected) in cases {
        let request = Expected { id: Some(&id), instance: "i-1", has_expected_version, is_fresh: false };
        let found = classify(&request, StatusCode::MISDIRECTED_REQUEST, &map(headers));
        assert_eq!(found, expected, "{headers:?} {has_expected_version}");
    }
}
