//! Closing a listener without losing connections.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Closes a listener, and returns the connections that the kernel has accepted already: what their clients send counts as
/// received.
///
/// A connection may have arrived after the runtime last polled the listener, so the socket itself is asked until it has
/// no more.
pub fn drain(listener: TcpListener) -> Vec<TcpStream> {
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
