//! Reading and writing over real sockets, with well-formed and hostile senders.

use cassiashunt_property::check;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use cassiashunt_http::*;

fn limits() -> Limits {
    Limits {
        head_bytes: 512,
        body_bytes: 64,
        receive: Duration::from_millis(50),
        poll: Duration::from_millis(10),
        ..Limits::default()
    }
}

fn pair() -> (TcpStream, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let caller = TcpStream::connect(listener.local_addr().expect("bound")).expect("listening");
    let (stream, _) = listener.accept().expect("the caller connected");
    (
        caller,
        Connection::new(stream, limits()).expect("options of a fresh socket can be set"),
    )
}

fn read_after(sent: &[u8]) -> Result<Incoming, ReadError> {
    let (mut caller, mut connection) = pair();
    caller
        .write_all(sent)
        .expect("small writes fit the socket buffer");
    connection.read()
}

fn request(sent: &[u8]) -> Request {
    match read_after(sent) {
        Ok(Incoming::Request(req)) => req,
        other => panic!("expected a request, got {other:?}"),
    }
}

#[test]
fn a_sized_body_is_read_whole() {
    let req = request(b"POST /a?b=c HTTP/1.1\r\nHost: x\r\ncontent-length: 5\r\n\r\nhello");
    assert_eq!(
        (req.method.as_str(), req.path(), &req.body[..]),
        ("POST", "/a", &b"hello"[..])
    );
    assert!(req.keep_alive);
}

#[test]
fn a_chunked_body_is_read_whole() {
    let req = request(
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n",
    );
    assert_eq!(&req.body[..], b"abcde");
}

#[test]
fn two_requests_in_one_packet_are_read_one_after_the_other() {
    let (mut caller, mut connection) = pair();
    caller
        .write_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        .expect("connected");
    for path in ["/1", "/2"] {
        match connection.read() {
            Ok(Incoming::Request(req)) => assert_eq!(req.path(), path),
            other => panic!("expected a request, got {other:?}"),
        }
    }
    assert!(matches!(connection.read(), Ok(Incoming::Idle)));
    caller.shutdown(Shutdown::Both).expect("connected");
    assert!(matches!(connection.read(), Ok(Incoming::Closed)));
}

#[test]
fn ambiguous_body_lengths_are_refused() {
    for sent in [
        &b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    ] {
        assert!(
            matches!(read_after(sent), Err(ReadError::Malformed(_))),
            "{sent:?}"
        );
    }
}

#[test]
fn oversize_heads_and_bodies_are_refused() {
    let head = [&b"GET / HTTP/1.1\r\nX: "[..], &[b'x'; 600]].concat();
    assert!(matches!(read_after(&head), Err(ReadError::HeadTooLarge)));
    let sized = b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    assert!(matches!(read_after(sized), Err(ReadError::BodyTooLarge)));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n";
    assert!(matches!(read_after(chunked), Err(ReadError::BodyTooLarge)));
}

#[test]
fn a_slow_sender_is_given_up() {
    assert!(matches!(
        read_after(b"GET / HTTP/1.1\r\n"),
        Err(ReadError::Slow)
    ));
    let body = b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab";
    assert!(matches!(read_after(body), Err(ReadError::Slow)));
}

#[test]
fn a_request_cut_off_is_no_request() {
    let (mut caller, mut connection) = pair();
    caller
        .write_all(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        .expect("connected");
    drop(caller);
    assert!(matches!(connection.read(), Err(ReadError::CutOff)));
}

#[test]
fn arbitrary_bytes_never_panic_the_reader() {
    check(|u| {
        let len = u.len().min(200);
        let sent = u.bytes(len)?.to_vec();
        let (mut caller, mut connection) = pair();
        caller.write_all(&sent).expect("connected");
        drop(caller);
        while let Ok(Incoming::Request(_)) = connection.read() {}
        Ok(())
    });
}

#[test]
fn an_answer_tells_its_length_and_a_close_lets_it_arrive() {
    let (mut caller, mut connection) = pair();
    caller
        .write_all(b"left over bytes that nobody reads")
        .expect("connected");
    let mut answer = Answer::new(200);
    answer.headers.push("X", "y");
    answer.body = "hello".into();
    let writer = thread::spawn(move || {
        connection
            .write(&answer, false, true)
            .expect("the caller reads");
        connection.close();
    });
    let mut got = String::new();
    caller.read_to_string(&mut got).expect("closed, not reset");
    drop(caller);
    writer.join().expect("the writer does not panic");
    let expected = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    assert_eq!(got, expected);
}

#[test]
fn a_caller_that_has_gone_is_seen() {
    let (caller, connection) = pair();
    assert!(!connection.is_closed_by_caller());
    drop(caller);
    thread::sleep(Duration::from_millis(20));
    assert!(connection.is_closed_by_caller());
}
