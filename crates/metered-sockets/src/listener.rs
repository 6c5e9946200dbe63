//! Closing a listener without losing accepted connections.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Closes a listener and returns the connections that the kernel has accepted already, so that their clients can still
/// be served.
///
/// Connections may have arrived after the runtime last polled the listener, so they are accepted from the socket
/// directly.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let accept = |listener: &std::net::TcpListener| -> io::Result<TcpStream> {
        let (socket, _) = listener.accept()?;
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket)
    };
    match listener.into_std() {
        Ok(listener) => std::iter::from_fn(|| accept(&listener).ok()).collect(),
        Err(_) => Vec::new(),
    }
}
