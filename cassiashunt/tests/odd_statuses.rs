//! Answers of backend servers whose status is no final one, at the node of the product's own interface.

mod support;

use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use support::{Fleet, ServiceSpec, call, eventually};

const ENDPOINTS: &str = "[[endpoints]]\npath = \"/sections\"\n";
/// Codes that are no status, and interim ones after which nothing comes.
const ODD_STATUSES: [&str; 9] = [
    "000", "001", "099", "100", "101", "103", "199", "600", "999",
];

/// Answers one request: its health with 200, others with this status.
fn answer(stream: TcpStream, status: &str) -> std::io::Result<()> {
    let mut head = String::new();
    let mut reader = BufReader::new(stream);
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(());
        }
    }
    let status = if head.starts_with("GET /health") {
        "200"
    } else {
        status
    };
    let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    reader.into_inner().write_all(text.as_bytes())
}

#[test]
fn an_answer_whose_status_is_no_final_one_never_reaches_a_caller() {
    let rota = ServiceSpec {
        name: "rota",
        domains: &["ikeja"],
        endpoints: ENDPOINTS,
    };
    let mut fleet = Fleet::start("odd-statuses", &[rota]);
    fleet.table(&["bind", "GET /sections", "sections", "read", "rota"]);
    let key = format!("Bearer {}", fleet.give_key("ward-7"));
    let member = &mut fleet.members[0];
    member.server.kill();
    let listener = TcpListener::bind(member.backend).expect("the port is the server's");
    let status = Arc::new(Mutex::new("200"));
    let of_server = Arc::clone(&status);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let status = *of_server.lock().expect("a thread panicked");
            // The node gives up connections of its own accord.
            thread::spawn(move || answer(stream, status));
        }
    });
    let ask = || {
        call(
            member.callers,
            "GET",
            "/sections",
            &[("Authorization", &key)],
        )
    };
    let serves = || eventually("the server is served again", || ask().status == 200);
    for odd in ODD_STATUSES {
        *status.lock().expect("a thread panicked") = "200";
        serves();
        *status.lock().expect("a thread panicked") = odd;
        let answer = ask();
        assert_eq!(answer.status, 502, "{odd}");
        assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{odd}");
    }
}
