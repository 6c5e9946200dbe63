//! Redirects of calls, with a controller on a loopback socket that redirects every call but the last.

use std::time::Duration;

use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use whinspindle_client::{Call, RedirectLimits, Response, call_with_redirects};

const TIME_LIMIT: Duration = Duration::from_secs(10);
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Answers calls, the first `redirects` of them with a redirect to `/confirmed?step=N` on this address.
/// Returns the target of each request.
async fn answer_calls(listener: TcpListener, redirects: usize, calls: usize) -> Vec<String> {
    let mut targets = Vec::new();
    let own_address = listener.local_addr().expect("it is bound");
    for step in 0..calls {
        let (mut caller, _) = listener.accept().await.expect("a caller");
        let mut head = Vec::new();
        while !head.ends_with(END_OF_HEAD) {
            head.push(caller.read_u8().await.expect("a complete head"));
        }
        let head = String::from_utf8(head).expect("text");
        targets.push(head.split(' ').nth(1).expect("a target").to_owned());
        let response = if step < redirects {
            let location = format!("Location: http://{own_address}/confirmed?step={step}");
            format!("HTTP/1.1 307 Temporary Redirect\r\n{location}\r\nContent-Length: 0\r\n\r\n")
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
        };
        caller.write_all(response.as_bytes()).await.expect("the caller reads");
    }
    targets
}

/// Makes a call that is redirected this often. Returns its response and the targets of all requests.
fn redirected_call(redirects: usize, requests: usize, limits: RedirectLimits) -> (Response, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let controller = listener.local_addr().expect("it is bound");
        let server = spawn_local(answer_calls(listener, redirects, requests));
        let call = Call::post("/first", "");
        let response = call_with_redirects(controller, &call, TIME_LIMIT, limits).await.expect("a response");
        (response, server.await.expect("the server ends"))
    })
}

#[test]
fn redirects_are_followed_to_their_path_up_to_the_limit() {
    let first_targets = ["/first", "/confirmed?step=0", "/confirmed?step=1"];
    let cases = [(0, 1, StatusCode::OK), (1, 2, StatusCode::OK), (2, 3, StatusCode::OK)];
    for (redirects, requests, status) in cases.into_iter().chain([(3, 3, StatusCode::TEMPORARY_REDIRECT)]) {
        let (response, targets) = redirected_call(redirects, requests, RedirectLimits::default());
        assert_eq!(response.status, status, "{redirects} redirects");
        assert_eq!(targets, first_targets[..requests], "{redirects} redirects");
    }
}

/// Guards against: an operator command whose answer is late, and which was sent elsewhere meanwhile, is
/// confirmed all the same.
#[test]
fn late_redirect_is_not_followed() {
    let limits = RedirectLimits { delay: Duration::ZERO, ..RedirectLimits::default() };
    let (response, targets) = redirected_call(1, 1, limits);
    assert_eq!(response.status, StatusCode::TEMPORARY_REDIRECT);
    assert_eq!(targets, ["/first"]);
}
