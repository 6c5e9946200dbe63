//! The end of a listener.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Ends the listener; returns whom the machine has connected already, since what they send counts as taken.
/// Guards against one that came after the runtime looked last: the socket itself is asked, until it has no
/// more.
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
