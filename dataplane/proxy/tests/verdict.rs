//! What the heads of answers mean.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use whinspindle_proxy::verdict::{Asked, Verdict, judge};

const ID: (&str, &str) = ("whinspindle-request-id", "a1");
const OTHER_ID: (&str, &str) = ("whinspindle-request-id", "b2");
const STAMP: (&str, &str) = ("whinspindle-server-stamp", "3e1b.07");
const NOT_RUN: (&str, &str) = ("whinspindle-not-run", "1");
const ENCODED: (&str, &str) = ("content-encoding", "gzip");

type Headers<'a> = &'a [(&'static str, &'static str)];

fn verdict(status: u16, headers: Headers, fresh: bool) -> Verdict {
    let id = HeaderValue::from_static("a1");
    let asked = Asked { id: Some(&id), instance: "i-1", names_version: false, fresh };
    judge(&asked, StatusCode::from_u16(status).expect("a status"), &map(headers))
}

fn map(headers: Headers) -> HeaderMap {
    let pairs = headers.iter();
    pairs.map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value))).collect()
}

#[test]
fn the_table_of_heads() {
    use Verdict::{Failure, Misdirected, Rejected, Success, Unusable};
    let cases: &[(u16, Headers, Verdict)] = &[
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
        // Statuses that promise what the upstream has not said can't go back.
        (503, &[ID, STAMP], Unusable),
        (503, &[ID], Unusable),
        (429, &[ID, STAMP], Unusable),
        (408, &[ID, STAMP], Unusable),
    ];
    for &(status, headers, expected) in cases {
        assert_eq!(verdict(status, headers, false), expected, "{status} {headers:?}");
        assert_eq!(verdict(status, headers, true), expected, "{status} {headers:?} on a fresh connection");
    }
}

#[test]
fn an_answer_without_an_id_counts_only_on_a_fresh_connection() {
    for (status, headers, expected) in
        [(503, &[NOT_RUN][..], Verdict::Rejected), (421, &[][..], Verdict::Misdirected)]
    {
        assert_eq!(verdict(status, headers, true), expected);
        assert_eq!(verdict(status, headers, false), Verdict::Unusable);
    }
}

#[test]
fn a_request_without_an_id_wants_an_answer_without_one() {
    let asked = Asked { id: None, instance: "i-1", names_version: false, fresh: false };
    let judged = |headers| judge(&asked, StatusCode::BAD_REQUEST, &map(headers));
    assert_eq!(judged(&[NOT_RUN]), Verdict::Failure);
    assert_eq!(judged(&[ID, NOT_RUN]), Verdict::Unusable);
}

#[test]
fn an_instance_with_other_weights_is_not_taken_for_another_instance() {
    let id = HeaderValue::from_static("a1");
    const SAME: (&str, &str) = ("whinspindle-instance-id", "i-1");
    const OTHER: (&str, &str) = ("whinspindle-instance-id", "i-2");
    let cases: &[(Headers, bool, Verdict)] = &[
        (&[ID, SAME], true, Verdict::Rejected),
        (&[ID, OTHER], true, Verdict::Misdirected),
        (&[ID, OTHER], false, Verdict::Misdirected),
        (&[ID], true, Verdict::Rejected),
        (&[ID], false, Verdict::Misdirected),
    ];
    for &(headers, names_version, expected) in cases {
        let asked = Asked { id: Some(&id), instance: "i-1", names_version, fresh: false };
        let judged = judge(&asked, StatusCode::MISDIRECTED_REQUEST, &map(headers));
        assert_eq!(judged, expected, "{headers:?} {names_version}");
    }
}
