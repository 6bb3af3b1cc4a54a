//! Ports for nodes that end and start again on the same ones.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{Mutex, PoisonError},
};

/// Below the ports that the system gives to outgoing connections.
const PORTS: Range<u16> = 10_000..30_000;
/// Ports that one process claims at once. The first is listened on for as long as the claim lasts.
const BLOCK: u16 = 50;

/// Gives out loopback ports that no other process which asks here takes, also while nothing listens
/// on them: between a node's end and its next start.
#[derive(Debug, Default)]
pub struct Ports {
    claims: Vec<TcpListener>,
    free: Range<u16>,
}

impl Ports {
    /// A port on which nobody listens.
    ///
    /// It is asked for by a connection: a listener opened to try it would stay open in a child that is
    /// started meanwhile, until its program begins, and take connections that are then reset.
    ///
    /// # Errors
    ///
    /// Where all blocks are claimed.
    pub fn take(&mut self) -> io::Result<u16> {
        loop {
            let port = match self.free.next() {
                Some(port) => port,
                None => self.claim()?,
            };
            if TcpStream::connect(loopback(port)).is_err() {
                return Ok(port);
            }
        }
    }

    /// Claims a block and gives its first port; the search begins at another block in each process.
    fn claim(&mut self) -> io::Result<u16> {
        let starts = PORTS.step_by(BLOCK.into());
        let blocks = starts.len();
        let first = std::process::id() as usize % blocks;
        let mut starts = starts.clone().cycle().skip(first).take(blocks);
        let claimed = starts.find_map(|at| TcpListener::bind(loopback(at)).ok().map(|it| (at, it)));
        let Some((at, listener)) = claimed else {
            return Err(io::Error::other("every block of ports is claimed"));
        };
        self.claims.push(listener);
        self.free = at + 2..at + BLOCK;
        Ok(at + 1)
    }
}

/// A port of this process's claims, as an address on loopback.
///
/// # Errors
///
/// Where all blocks are claimed.
pub fn free_address() -> io::Result<SocketAddr> {
    static PORTS: Mutex<Ports> = Mutex::new(Ports {
        claims: Vec::new(),
        free: 0..0,
    });
    let mut ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    ports.take().map(loopback)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
