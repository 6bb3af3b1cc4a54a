//! Status reports that another writer sends to a node.

mod support;

use cassiashunt_standin::site::{Request, ask, open};
use serde_json::{Value, json};
use support::{
    eventually,
    site::{Member, Site, read, unix_ms, write},
};

const SERVICES: [&str; 2] = ["shop", "desk"];
/// The id of a server that is not beside any node.
const OTHER_SERVER: &str = "i-other";

/// Reports that cannot be of the member's server: id and body.
fn foreign_reports(member: &Member) -> Vec<(String, Value)> {
    let own = member.server.id.clone();
    let mut reports = Vec::new();
    for server in [own.as_str(), OTHER_SERVER] {
        for born in [0, 1, 2, unix_ms()] {
            for service in ["of-no-table", "desk"] {
                let mut report = member.report(born, 1_000);
                report["details"]["service"] = service.into();
                reports.push((server.to_owned(), report));
            }
        }
        for field in ["address", "born", "details", "status"] {
            let mut report = member.report(2, 1_000);
            report.as_object_mut().expect("no object").remove(field);
            reports.push((server.to_owned(), report));
        }
    }
    reports
}

/// Asserts that requests that begin at the member bear its service, and that its own server is used.
fn assert_own_service(site: &Site, member: &Member, what: &str) {
    for service in SERVICES {
        let request = read(service);
        assert_eq!(member.status_of(&request), 200, "{service}: {what}");
        let run = site.run_of(&request).expect("the request did not run");
        let caller = run.header("x-caller-service");
        assert_eq!(caller, Some(member.service.as_str()), "{what}");
    }
}

/// Guards against a node that takes the service of its machine from a status report, which any writer
/// can send, and not from its settings.
#[test]
fn a_report_of_another_server_changes_neither_the_service_nor_the_server() {
    let site = Site::start("foreign-reports", &SERVICES);
    let member = &site.members[0];
    for (server, report) in foreign_reports(member) {
        let status = member.send_report(&server, &report);
        let what = format!("{server} {report}");
        assert_eq!(status, 400, "{what}");
        assert_own_service(&site, member, &what);
    }
    eventually("the refused reports are logged", || {
        member.log().contains("\"heartbeat-refused\"")
    });
}

/// The node may reach its server through a proxy, so the address alone does not tell that a report is of
/// another server. The server itself does, where the id is not known.
#[test]
fn a_report_of_another_address_changes_neither_the_service_nor_the_server() {
    let site = Site::start("foreign-address", &SERVICES);
    let member = &site.members[0];
    for server in [member.server.id.as_str(), OTHER_SERVER] {
        for address in ["127.0.0.1:9", ""] {
            for born in [0, 1, 2, unix_ms()] {
                let mut report = member.report(born, 1_000);
                report["address"] = address.into();
                let what = format!("{server} {report}");
                assert_eq!(member.send_report(server, &report), 200, "{what}");
                assert_own_service(&site, member, &what);
            }
        }
    }
}

/// Guards against a node that has just started again, and takes any first report as its server's: the
/// users saw work whose caller was no service of theirs, from nodes that had ended and come back.
#[test]
fn a_report_of_another_server_before_the_first_own_one_names_no_service() {
    let mut site = Site::start("report-after-restart", &SERVICES);
    for born in [0, 1, unix_ms()] {
        let member = &mut site.members[0];
        // The server is found by its own report, not by a probe.
        member.server.set_silent(true);
        member.node.kill();
        member.restart();
        let heartbeats = member.heartbeats;
        eventually("the node listens", || support::listens(heartbeats));
        let member = &site.members[0];
        let mut report = member.report(born, 1_000);
        report["details"]["service"] = json!("of-no-table");
        let status = member.send_report(OTHER_SERVER, &report);
        let mut last = None;
        eventually("the node serves another service", || {
            let request = read("desk");
            let status = member.status_of(&request);
            last = site.run_of(&request);
            status == 200
        });
        let run = last.expect("the request did not run");
        assert_eq!(run.header("x-caller-service"), Some("shop"), "born {born}");
        assert_eq!(status, 400, "born {born}");
        for sequence in 1..3 {
            let own = member.report(2, sequence);
            assert_eq!(member.send_report(&member.server.id, &own), 200);
        }
        eventually("the own server is used", || {
            member.status_of(&read("shop")) == 200
        });
        assert_own_service(&site, member, "after the own reports");
    }
}

/// Other ways by which a name could get into the header: what the client itself sends.
#[test]
fn a_caller_that_a_client_names_does_not_reach_a_server() {
    let site = Site::start("client-names-caller", &SERVICES);
    let member = &site.members[0];
    let field = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let forged = [
        vec![field("X-Caller-Service", "of-no-table")],
        vec![
            field("x-caller-service", "of-no-table"),
            field("X-CALLER-SERVICE", "desk"),
        ],
        vec![
            field("Connection", "keep-alive, X-Caller-Service, X-Tenant"),
            field("X-Caller-Service", "of-no-table"),
        ],
    ];
    for headers in forged {
        let request = Request {
            headers: headers.clone(),
            ..read("desk")
        };
        assert_eq!(member.status_of(&request), 200, "{headers:?}");
        let run = site.run_of(&request).expect("the request did not run");
        let named = run.headers.iter();
        let named = named.filter(|(name, _)| name.eq_ignore_ascii_case("x-caller-service"));
        let named: Vec<_> = named.map(|(_, value)| value.as_str()).collect();
        assert_eq!(named, ["shop"], "{headers:?}");
    }
    let in_trailer = Request {
        headers: vec![field("Transfer-Encoding", "chunked")],
        body: Vec::new(),
        ..write("desk")
    };
    let trailer = b"1\r\nx\r\n0\r\nX-Caller-Service: of-no-table\r\n\r\n";
    let bytes = [in_trailer.encode(), trailer.to_vec()].concat();
    let mut stream = open(member.requests).expect("cannot connect to the node");
    let answer = ask(&mut stream, &bytes).expect("no answer from the node");
    assert_eq!(answer.status, 200);
    let run = site.run_of(&in_trailer).expect("the request did not run");
    assert_eq!(run.header("x-caller-service"), Some("shop"));
    assert_eq!(run.body, b"x");
}
