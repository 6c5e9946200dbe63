//! Detection of heads with both `Content-Length` and `Transfer-Encoding`, for any chunk boundaries.

use quickcheck::quickcheck;
use whinspindle_proxy::request_framing::RequestFraming;

fn is_ambiguous(chunks: &[&[u8]]) -> bool {
    let mut framing = RequestFraming::default();
    chunks.iter().for_each(|chunk| framing.push(chunk));
    framing.is_ambiguous()
}

#[test]
fn only_heads_with_both_lengths_are_ambiguous() {
    let cases = [
        ("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", false),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false),
        ("POST / HTTP/1.1\r\nCONTENT-LENGTH: 5\r\nHost: a\r\ntransfer-encoding: chunked\r\n\r\n", true),
        ("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\ntransfer-encoding: chunked\r\n\r\n", false),
        ("POST / HTTP/1.1\r\nX: content-length\r\nTransfer-Encoding: chunked\r\n\r\n", false),
    ];
    for (head, expected) in cases {
        assert_eq!(is_ambiguous(&[head.as_bytes()]), expected, "{head}");
    }
}

#[test]
fn framing_is_reset_for_each_request() {
    let mut framing = RequestFraming::default();
    framing.push(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    framing.finish_request();
    framing.push(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert!(!framing.is_ambiguous());
}

quickcheck! {
    fn chunk_boundaries_do_not_matter(cuts: Vec<usize>, both: bool) -> bool {
        let length_header = if both { "Content-Length: 5\r\n" } else { "" };
        let text = format!("POST / HTTP/1.1\r\n{length_header}Host: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let chunks: Vec<&[u8]> = places.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]).collect();
        is_ambiguous(&chunks) == both
    }
}

const BOTH: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
const LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nA: b\r\n\r\n";

#[test]
fn heads_of_pipelined_requests_are_observed() {
    for first in [LENGTH, CHUNKED, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\nGET / HTTP/1.1\n\n"] {
        let bytes = [first, LENGTH, CHUNKED, BOTH].concat();
        for chunk in 1..=bytes.len() {
            let mut framing = RequestFraming::default();
            bytes.as_bytes().chunks(chunk).for_each(|bytes| framing.push(bytes));
            for expected in [false, false, false, true] {
                assert_eq!(framing.is_ambiguous(), expected, "{chunk} at once after {first}");
                framing.finish_request();
            }
        }
    }
}

#[test]
fn a_head_without_carriage_returns_is_observed() {
    let mut framing = RequestFraming::default();
    framing.push(BOTH.replace("\r\n", "\n").as_bytes());
    assert!(framing.is_ambiguous());
}

#[test]
fn a_body_that_resembles_a_head_is_not_parsed_as_one() {
    let mut framing = RequestFraming::default();
    let body = BOTH;
    framing.push(format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    assert!(!framing.is_ambiguous());
    framing.finish_request();
    framing.push(LENGTH.as_bytes());
    assert!(!framing.is_ambiguous());
}

#[test]
fn a_length_padded_beyond_the_kept_bytes_of_a_line_is_unknown() {
    let zeros = "0".repeat(300);
    let spaces = " ".repeat(300);
    let lengths = [format!("{zeros}5"), format!("{spaces}5")];
    let mut firsts: Vec<String> =
        lengths.iter().map(|length| LENGTH.replace(" 5", &format!(" {length}"))).collect();
    firsts.push(CHUNKED.replace("3;x=y", &format!("{zeros}3;x=y")));
    for first in firsts {
        let mut framing = RequestFraming::default();
        framing.push(first.as_bytes());
        assert!(framing.is_end_unknown(), "what follows can't be told: {first}");
        framing.push(BOTH.as_bytes());
        assert!(framing.is_end_unknown() && !framing.is_ambiguous(), "{first}");
    }
}

#[test]
fn long_lines_of_other_kinds_are_skipped() {
    let long = "x".repeat(300);
    let extended = CHUNKED.replace("3;x=y", &format!("3;x={long}"));
    let other = LENGTH.replace("Content-Length", &format!("X: {long}\r\nContent-Length"));
    for first in [extended, other] {
        let mut framing = RequestFraming::default();
        framing.push([first.as_str(), BOTH].concat().as_bytes());
        assert!(!framing.is_end_unknown() && !framing.is_ambiguous(), "{first}");
        framing.finish_request();
        assert!(framing.is_ambiguous(), "{first}");
    }
}
