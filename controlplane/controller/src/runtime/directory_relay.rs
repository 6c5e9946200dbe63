//! The directory process: relays clients' connections to a controller, which answers them.
//!
//! Clients ask the nearest few machines that serve the directory. Where every controller served it, these would all
//! be in one region, and a client of a region that is lost would find nobody; so the deploy file asks for fewer
//! directories than controllers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use snafu::{OptionExt, ResultExt};
use spdlog::info;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use whinspindle_configuration::Settings;

use super::listen::listen;
use super::process::{ControllerError, ListenSnafu, NoDirectoryAddressSnafu, SHUTDOWN_GRACE, SignalsSnafu};

/// The time-out of a connection attempt; the next controller is tried after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection is closed after this time; a request takes a few milliseconds.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the directory until SIGTERM. To be called inside a `LocalSet`.
pub async fn run_directory(settings: Settings) -> Result<(), ControllerError> {
    let mut stop = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut reload = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let address = settings.listen.directory.context(NoDirectoryAddressSnafu)?;
    let listener = listen(address).context(ListenSnafu)?;
    let controllers = controllers(settings.ip, &settings.seeds);
    info!("directory {} serves {address}", settings.node);
    spawn_local(accept(listener, controllers));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => info!("settings are read anew at the next start"),
        }
    }
    info!("directory {} stops", settings.node);
    sleep(SHUTDOWN_GRACE).await;
    Ok(())
}

/// The control addresses to try: that of this machine, then the seeds. Ports are alike on all machines.
fn controllers(own: IpAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let local = seeds.first().map(|seed| SocketAddr::new(own, seed.port()));
    let others = seeds.iter().copied().filter(|seed| seed.ip() != own);
    local.into_iter().chain(others).collect()
}

async fn accept(listener: TcpListener, controllers: Vec<SocketAddr>) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                let controllers = controllers.clone();
                spawn_local(timeout(CONNECTION_TIMEOUT, relay(client, controllers)));
            }
            // Out of descriptors, most likely: some are soon given back.
            Err(_) => sleep(CONNECT_TIMEOUT).await,
        }
    }
}

/// Without a reachable controller the client's connection is closed, and the client asks another directory.
async fn relay(mut client: TcpStream, controllers: Vec<SocketAddr>) {
    let Some(mut controller) = connect(&controllers).await else { return };
    let _ = client.set_nodelay(true);
    let _ = controller.set_nodelay(true);
    let _ = copy_bidirectional(&mut client, &mut controller).await;
}

async fn connect(controllers: &[SocketAddr]) -> Option<TcpStream> {
    for controller in controllers {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(*controller)).await {
            return Some(stream);
        }
    }
    None
}
