//! A crowd of clients that send as much as the node takes of them, all at the same time.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// A crowd has sent what the node takes once no client could send for so long.
const STALL: Duration = Duration::from_secs(1);
/// The longest time for which a crowd sends.
const LONGEST: Duration = Duration::from_secs(20);
/// The pause after a round in which no client could send.
const PAUSE: Duration = Duration::from_millis(5);

/// Connections that stay open until the node closes them or the crowd is dropped.
pub struct Crowd {
    to: SocketAddr,
    clients: Vec<Client>,
}

struct Client {
    stream: TcpStream,
    sent: usize,
}

impl Crowd {
    /// Opens connections, as many as are taken.
    pub fn connect(to: SocketAddr, clients: usize) -> Self {
        allow_descriptors(2 * clients as u64);
        let clients = (0..clients).filter_map(|_| Client::connect(to)).collect();
        Self { to, clients }
    }

    /// The number of connections that are open as far as the clients know.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Sends a message of its own on each connection, which the node takes at once.
    pub fn send_each(&mut self, message: impl Fn(usize) -> Vec<u8>) {
        let mut at = 0;
        self.clients.retain_mut(|client| {
            at += 1;
            let sent = client.stream.write(&message(at));
            sent.is_ok() || is_would_block(&sent)
        });
    }

    /// Sends the same bytes on all connections, a piece of each in turn, as far as the node takes them.
    pub fn send(&mut self, bytes: &[u8], piece: usize) {
        for client in &mut self.clients {
            client.sent = 0;
        }
        let start = Instant::now();
        let mut last_sent = start;
        while last_sent.elapsed() < STALL && start.elapsed() < LONGEST {
            let mut has_sent = false;
            self.clients.retain_mut(|client| {
                let rest = &bytes[client.sent..];
                if rest.is_empty() {
                    return true;
                }
                let sent = client.stream.write(&rest[..piece.min(rest.len())]);
                let count = *sent.as_ref().unwrap_or(&0);
                client.sent += count;
                has_sent |= count > 0;
                count > 0 || is_would_block(&sent)
            });
            if self.clients.iter().all(|it| it.sent == bytes.len()) {
                return;
            }
            if has_sent {
                last_sent = Instant::now();
            } else {
                thread::sleep(PAUSE);
            }
        }
    }

    /// Opens a new connection in the place of each that the node has closed.
    pub fn reconnect(&mut self, clients: usize) {
        self.clients.retain_mut(|it| {
            let read = it.stream.read(&mut [0; 64]);
            matches!(read, Ok(1..)) || is_would_block(&read)
        });
        let missing = clients.saturating_sub(self.clients.len());
        let anew = (0..missing).filter_map(|_| Client::connect(self.to));
        self.clients.extend(anew);
    }
}

impl Client {
    fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, sent: 0 })
    }
}

fn is_would_block(result: &std::io::Result<usize>) -> bool {
    matches!(result, Err(err) if err.kind() == ErrorKind::WouldBlock)
}

/// Raises this process's limit of descriptors to so many and some more, if it is lower.
fn allow_descriptors(wanted: u64) {
    let wanted = wanted + 256;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|it| it < wanted) {
        let current = Some(limit.maximum.map_or(wanted, |it| wanted.min(it)));
        let raised = setrlimit(Resource::Nofile, Rlimit { current, ..limit });
        raised.expect("cannot raise the limit of descriptors");
    }
}
