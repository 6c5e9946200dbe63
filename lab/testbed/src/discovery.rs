//! Discovery: an agent for each balancer, which tells it the list of its tier.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle::host::EndpointState;
use whinspindle_lab_model::registry::ListUpdate;
use whinspindle_lab_simulation::report_listing;

use crate::http::{self, Reader};
use crate::state::Stage;

/// While nothing changes an empty line says that the watch lives.
const HEARTBEAT: Duration = Duration::from_secs(2);

pub async fn listen(stage: &Rc<Stage>) -> io::Result<()> {
    let count = stage.world.borrow().nodes.len();
    for node in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        stage.world.borrow_mut().nodes[node].discovery = listener.local_addr()?;
        let stage = Rc::clone(stage);
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                spawn_local(serve(Rc::clone(&stage), node, socket));
            }
        });
    }
    Ok(())
}

/// The name of a server's process in the lists.
pub fn id(server: usize) -> String {
    format!("s-{server:06}")
}

/// An update in the protocol's form, with the addresses that this balancer is given.
pub fn line(stage: &Stage, node: usize, news: &ListUpdate) -> String {
    let world = stage.world.borrow();
    let tier = world.nodes[node].tier;
    let instances = news.listings.iter().map(|listing| {
        let address = world.tiers[tier].hosts[listing.place].addresses.get(&node);
        json!({
            "instanceId": id(listing.server),
            "hostPort": address.map(ToString::to_string),
            "zone": stage.scenario.zones[listing.zone],
            "machineType": stage.scenario.kinds[listing.kind].name,
            "cell": listing.cell,
            "lifecycle": match listing.standing {
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
                EndpointState::Gone => "gone",
            },
            "weight": listing.size,
            "startedAtMs": listing.started_at / 1000,
        })
    });
    let instances: Vec<_> = instances.collect();
    json!({"generation": news.generation, "reset": news.is_full, "instances": instances}).to_string()
}

/// The invariant checker is informed once the update is written to the balancer.
pub fn told(stage: &Stage, node: usize, news: &ListUpdate) {
    let now = stage.now();
    let mut world = stage.world.borrow_mut();
    let tier = world.nodes[node].tier;
    report_listing(&mut world.checker, now, node, tier, news);
}

async fn serve(stage: Rc<Stage>, node: usize, socket: TcpStream) {
    let tier = stage.world.borrow().nodes[node].tier;
    let mut reader = Reader::new();
    while let Ok(Some(request)) = reader.message(&socket, false).await {
        let silent = || stage.world.borrow().tiers[tier].registry.silent;
        while silent() {
            sleep(Duration::from_millis(20)).await;
        }
        if !request.target.contains("watch=1") {
            let news = stage.world.borrow().tiers[tier].registry.full_list();
            let body = line(&stage, node, &news);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if http::write(&socket, answer.as_bytes()).await.is_err() {
                return;
            }
            told(&stage, node, &news);
            continue;
        }
        let from = request.target.split("from=").nth(1).and_then(|from| from.parse().ok());
        let _ = watch(&stage, node, tier, &socket, from).await;
        return;
    }
}

async fn watch(
    stage: &Rc<Stage>,
    node: usize,
    tier: usize,
    socket: &TcpStream,
    from: Option<u64>,
) -> io::Result<()> {
    let mut changed = stage.world.borrow().tiers[tier].changed.subscribe();
    http::write(socket, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut known = from;
    loop {
        let (news, silent) = {
            let world = stage.world.borrow();
            let registry = &world.tiers[tier].registry;
            let news = match known {
                None => registry.full_list(),
                Some(known) => registry.since(known),
            };
            (news, registry.silent)
        };
        changed.borrow_and_update();
        let due = known != Some(news.generation) || news.is_full;
        if silent {
            // Nothing, not even the sign of life.
            sleep(Duration::from_millis(20)).await;
            continue;
        }
        let text = if due { line(stage, node, &news) + "\n" } else { "\n".to_string() };
        http::write(socket, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
        if due {
            told(stage, node, &news);
            known = Some(news.generation);
        }
        if timeout(HEARTBEAT, changed.changed()).await.is_ok() {
            let delay = {
                let mut world = stage.world.borrow_mut();
                let late = world.tiers[tier].registry.delay;
                let discovery = &stage.scenario.discovery;
                world.random.spread(discovery.delay, discovery.spread) + late
            };
            sleep(Duration::from_micros(delay)).await;
        }
    }
}
