//! The directory process, which relays client connections to a controller.
//!
//! Clients ask the few nearest machines that serve the directory. If every controller served it, these
//! machines could all be in one region, and its clients would reach none of them after the loss of the
//! region. The deploy file therefore requires fewer directories than controllers.

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

/// The timeout of a connection attempt, after which the next controller is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum duration of a client connection. A request takes a few milliseconds.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the directory until SIGTERM. Must be called inside a `LocalSet`.
pub async fn run_directory(settings: Settings) -> Result<(), ControllerError> {
    let mut terminate_signal = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut reload_signal = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let address = settings.listen.directory.context(NoDirectoryAddressSnafu)?;
    let listener = listen(address).context(ListenSnafu)?;
    let controllers = controller_addresses(settings.ip, &settings.seeds);
    info!("directory {} listens on {address}", settings.node);
    spawn_local(accept(listener, controllers));
    loop {
        tokio::select! {
            _ = terminate_signal.recv() => break,
            _ = reload_signal.recv() => info!("SIGHUP ignored: settings are only read at the start"),
        }
    }
    info!("directory {} is shutting down", settings.node);
    sleep(SHUTDOWN_GRACE).await;
    Ok(())
}

/// The control addresses to try: first the one of this machine, then the seeds. All machines use the same
/// port.
fn controller_addresses(own_ip: IpAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let local = seeds.first().map(|seed| SocketAddr::new(own_ip, seed.port()));
    let others = seeds.iter().copied().filter(|seed| seed.ip() != own_ip);
    local.into_iter().chain(others).collect()
}

async fn accept(listener: TcpListener, controllers: Vec<SocketAddr>) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                let controllers = controllers.clone();
                spawn_local(timeout(CONNECTION_TIMEOUT, relay(client, controllers)));
            }
            // The process is probably out of file descriptors, and some are released soon.
            Err(_) => sleep(CONNECT_TIMEOUT).await,
        }
    }
}

/// Relays a connection to the first reachable controller. If none is reachable, the connection is closed, and
/// the client asks another directory.
async fn relay(mut client: TcpStream, controllers: Vec<SocketAddr>) {
    let Some(mut controller) = connect_to_first(&controllers).await else { return };
    let _ = client.set_nodelay(true);
    let _ = controller.set_nodelay(true);
    let _ = copy_bidirectional(&mut client, &mut controller).await;
}

async fn connect_to_first(controllers: &[SocketAddr]) -> Option<TcpStream> {
    for controller in controllers {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(*controller)).await {
            return Some(stream);
        }
    }
    None
}
