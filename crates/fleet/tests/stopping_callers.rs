//! Callers' connections while their node stops.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use cassiashunt_node::Stopped;
use support::{KEY, callers, start};

/// A node beside a server of `stores`.
const STOPPING: usize = 3;
const CALLERS: usize = 8;
const STOPS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(10);

/// Sends one request on each new connection until the node takes none; gives the connections that
/// were taken and ended without an answer.
fn call_until_refused(addr: SocketAddr) -> Vec<String> {
    let mut cut = Vec::new();
    let mut sent = 0;
    loop {
        let mut stream = match TcpStream::connect(addr) {
            Ok(stream) => stream,
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => return cut,
            Err(err) => {
                cut.push(format!("connection {sent}: {err}"));
                return cut;
            }
        };
        sent += 1;
        if let Err(err) = exchange(&mut stream) {
            cut.push(format!("connection {sent}: {err}"));
        }
    }
}

fn exchange(stream: &mut TcpStream) -> Result<(), String> {
    let text = |err: std::io::Error| err.to_string();
    stream.set_read_timeout(Some(PATIENCE)).map_err(text)?;
    let head = format!("GET /photos HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {KEY}\r\n");
    let req = format!("{head}Connection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).map_err(text)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).map_err(text)?;
    match answer.starts_with(b"HTTP/1.1 ") {
        true => Ok(()),
        false => Err(format!("{} bytes, then an end", answer.len())),
    }
}

#[test]
fn every_connection_that_a_stopping_node_takes_gets_an_answer() {
    let fleet = start();
    let addr = callers(&fleet)[STOPPING];
    for _ in 0..STOPS {
        let cut: Vec<_> = thread::scope(|scope| {
            let calling: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(move || call_until_refused(addr)))
                .collect();
            thread::sleep(Duration::from_millis(100));
            assert_eq!(fleet.stop_node(STOPPING), Some(Stopped::Drained));
            let calling = calling.into_iter();
            calling
                .flat_map(|calling| calling.join().expect("callers do not panic"))
                .collect()
        });
        assert_eq!(cut, Vec::<String>::new());
        fleet
            .replace_node(STOPPING)
            .expect("the addresses are free");
        fleet.wait_ready().expect("the fleet is complete again");
    }
}
