//! Why callers are not served by `tiny_http`: a body that breaks off looks whole.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    thread,
};

use tiny_http::{Response, Server, StatusCode};

/// Gives some bytes and then fails, as the connection to an owner does that is killed.
struct Broken {
    given: bool,
}

impl Read for Broken {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.given {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.given = true;
        buf[..4].copy_from_slice(b"half");
        Ok(4)
    }
}

#[test]
fn tiny_http_ends_a_chunked_body_that_broke_off_as_if_it_were_whole() {
    let server = Server::http("127.0.0.1:0").expect("loopback has free ports");
    let addr = server.server_addr().to_ip().expect("an IP address");
    let serve = thread::spawn(move || {
        let req = server.recv().expect("a request comes");
        let body = Broken { given: false };
        // What it returns is not seen by the caller, who only sees the bytes.
        let _ = req.respond(Response::new(StatusCode(200), Vec::new(), body, None, None));
    });
    let mut caller = TcpStream::connect(addr).expect("listening");
    let req = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    caller.write_all(req).expect("connected");
    let mut got = Vec::new();
    caller.read_to_end(&mut got).expect("closed, not reset");
    serve.join().expect("the server does not panic");
    let text = String::from_utf8_lossy(&got);
    assert!(text.contains("Transfer-Encoding: chunked"), "{text}");
    assert!(
        text.ends_with("0\r\n\r\n"),
        "the end mark of a whole body: {text}"
    );
}
