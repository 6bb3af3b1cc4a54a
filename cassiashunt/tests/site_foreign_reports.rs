//! Status reports that another writer sends to a node.

mod support;

use serde_json::{Value, json};
use support::{
    eventually,
    site::{Member, Site, read, unix_ms},
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
            for (field, value) in [
                ("/details/service", json!("of-no-table")),
                ("/details/service", json!("desk")),
                ("/address", json!("127.0.0.1:9")),
                ("/address", json!("")),
            ] {
                let mut report = member.report(born, 1_000);
                *report.pointer_mut(field).expect("no such field") = value;
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
