//! Three example servers on 127.0.0.1:9001 to 9003, and a discovery service on 127.0.0.1:8500 that lists
//! them. Commands on standard input change the listed state of a server (`draining 2`, `ready 2`, `gone 2`)
//! or its behaviour (`slow 3`, `failing 3`, `well 3`).

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const DISCOVERY: &str = "127.0.0.1:8500";
const SERVERS: [&str; 3] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"];
/// Interval of empty lines on a watch without changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

type Reply = Response<UnsyncBoxBody<Bytes, Infallible>>;

struct ToyCluster {
    /// Generation of the list, and the listed state of each server.
    lifecycles: watch::Sender<(u64, [String; 3])>,
    behaviours: RefCell<[String; 3]>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let cluster = Rc::new(ToyCluster {
        lifecycles: watch::channel((1, SERVERS.map(|_| "ready".to_string()))).0,
        behaviours: RefCell::new(SERVERS.map(|_| "well".to_string())),
    });
    LocalSet::new().run_until(run(cluster)).await
}

async fn run(cluster: Rc<ToyCluster>) -> std::io::Result<()> {
    for (number, address) in SERVERS.iter().enumerate() {
        let cluster = Rc::clone(&cluster);
        listen(address, move |request| serve_request(Rc::clone(&cluster), number, request)).await?;
    }
    let discovery = Rc::clone(&cluster);
    listen(DISCOVERY, move |request| serve_discovery(Rc::clone(&discovery), request)).await?;
    println!("servers at {}, discovery at {DISCOVERY}", SERVERS.join(", "));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let mut words = line.split_whitespace();
        let (command, number) = (words.next().unwrap_or_default(), words.next().and_then(|n| n.parse().ok()));
        match (command, number) {
            ("ready" | "draining" | "gone", Some(number @ 1..=3)) => {
                cluster.lifecycles.send_modify(|listed| {
                    listed.0 += 1;
                    listed.1[number - 1] = command.to_string();
                })
            }
            ("slow" | "failing" | "well", Some(number @ 1..=3)) => {
                cluster.behaviours.borrow_mut()[number - 1] = command.to_string();
            }
            _ => println!("ready, draining, gone, slow, failing or well, and a server: 1, 2 or 3"),
        }
    }
    // Without standard input, the process runs until it is stopped.
    std::future::pending().await
}

async fn listen<F, Answer>(address: &str, answer: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Answer + Clone + 'static,
    Answer: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let reply = answer(request);
                async move { Ok::<_, Infallible>(reply.await) }
            });
            spawn_local(http1::Builder::new().serve_connection(TokioIo::new(socket), service));
        }
    });
    Ok(())
}

fn reply(status: u16, body: impl Body<Data = Bytes, Error = Infallible> + Send + 'static) -> Reply {
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    reply
}

/// Handles a request of a server: takes 50 ms, or one second if the server is slow.
async fn serve_request(cluster: Rc<ToyCluster>, number: usize, request: Request<Incoming>) -> Reply {
    let behaviour = cluster.behaviours.borrow()[number].clone();
    if behaviour == "failing" {
        return reply(500, Full::from("failing\n"));
    }
    sleep(Duration::from_millis(if behaviour == "slow" { 1000 } else { 50 })).await;
    let trace = request.headers().get("x-trace-id").and_then(|id| id.to_str().ok()).unwrap_or("none");
    let body = format!("{} by server {}, trace {trace}\n", request.uri().path(), number + 1);
    reply(200, Full::from(body))
}

/// Handles a request to discovery: returns the complete list, and each change if the request is a watch.
async fn serve_discovery(cluster: Rc<ToyCluster>, request: Request<Incoming>) -> Reply {
    let complete_list = |(generation, lifecycles): &(u64, [String; 3])| {
        let listed =
            SERVERS.iter().zip(lifecycles).enumerate().filter(|(_, (_, lifecycle))| *lifecycle != "gone");
        let entry = |(number, (address, lifecycle)): (usize, (&&str, &String))| {
            json!({"instanceId": format!("s-{}", number + 1), "hostPort": address, "zone": "hall",
                "machineType": "toy", "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
        };
        let instances: Vec<_> = listed.map(entry).collect();
        format!("{}\n", json!({"generation": generation, "reset": true, "instances": instances}))
    };
    let mut changes = cluster.lifecycles.subscribe();
    let current = complete_list(&changes.borrow_and_update());
    if !request.uri().query().unwrap_or_default().contains("watch=1") {
        return reply(200, Full::from(current));
    }
    let (lines, body) = tokio::sync::mpsc::channel(16);
    spawn_local(async move {
        let mut line = current;
        while lines.send(line).await.is_ok() {
            line = tokio::select! {
                _ = changes.changed() => complete_list(&changes.borrow_and_update()),
                () = sleep(HEARTBEAT) => "\n".to_string(),
            };
        }
    });
    reply(200, LineBody(body))
}

/// A response body that sends lines as they arrive.
struct LineBody(tokio::sync::mpsc::Receiver<String>);

impl Body for LineBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line.into()))))
    }
}
