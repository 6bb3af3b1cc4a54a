//! A request runs only for its key's workspace, and no server sees a key.

mod support;

use cassiashunt_standin::server::Record;
use support::{Caller, KEY, OTHER_KEY, callers, runs, start};

/// A run with the workspace whose key came with its request.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    workspace: Option<String>,
}

/// A request with the workspace that it must run for, if it may run at all.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    workspace: Option<&'static str>,
}

/// Every run belongs to a request, and has the workspace of its key.
fn check_workspaces(sent: &[Sent], ran: &[Run]) -> Result<(), String> {
    for run in ran {
        let Some(req) = sent.iter().find(|req| req.id == run.id) else {
            return Err(format!("{run:?} was never sent"));
        };
        if run.workspace.as_deref() != req.workspace {
            return Err(format!("{run:?} should have run for {:?}", req.workspace));
        }
    }
    Ok(())
}

/// No captured byte sequence contains an issued key, however it is encoded.
fn check_secrecy(records: &[Record], keys: &[&str]) -> Result<(), String> {
    for record in records {
        let lines = record
            .headers
            .iter()
            .map(|line| format!("{}: {}", line.name, line.value));
        let query = record.query.clone().unwrap_or_default();
        let text = format!("{} {query} {}", record.path, lines.collect::<String>());
        let text = text.to_lowercase().replace("%5f", "_").replace("%61", "a");
        if keys.iter().any(|key| text.contains(*key)) {
            return Err(format!("{} saw a key: {text}", record.path));
        }
    }
    Ok(())
}

fn run_of(record: &Record) -> Run {
    Run {
        id: record.id.clone(),
        workspace: record.workspace.clone(),
    }
}

#[test]
fn p03_p04_forged_headers_and_misplaced_keys_neither_borrow_a_workspace_nor_reach_a_server() {
    let fleet = start();
    fleet
        .bind("GET /open", "open", "read", "rota")
        .expect("accepted");
    fleet.set("*,open,*", "open", "yes").expect("accepted");
    let caller = Caller::new(KEY);
    let anonymous = Caller::new("");
    let mut sent = Vec::new();
    let note = |sent: &mut Vec<Sent>, id: &str, workspace| {
        let id = id.to_owned();
        sent.push(Sent { id, workspace });
    };
    let mut number = 0;
    let mut next = |sent: &mut Vec<Sent>, workspace| {
        number += 1;
        let id = format!("req-{number}");
        note(sent, &id, workspace);
        id
    };
    for addr in callers(&fleet) {
        let id = next(&mut sent, Some("ward-7"));
        let forged = [
            ("Standin-Id", id.as_str()),
            ("Cassiashunt-Workspace", "ward-8"),
            ("cAssiashunt-class", "sign-off"),
            ("Cassiashunt-Chain", "1"),
        ];
        assert!(
            caller
                .send(addr, "GET", "/photos", &forged)
                .expect("answered")
                .is_ok()
        );

        let id = next(&mut sent, None);
        let ticket = [("Standin-Id", id.as_str()), ("Cassiashunt-Ticket", "00ff")];
        let seen = caller
            .send(addr, "GET", "/photos", &ticket)
            .expect("answered");
        assert_eq!(
            (seen.status, seen.code.as_deref()),
            (401, Some("bad-ticket"))
        );

        let id = next(&mut sent, None);
        let seen = anonymous.send(addr, "GET", "/photos", &[("Standin-Id", &id)]);
        let seen = seen.expect("answered");
        assert_eq!((seen.status, seen.code.as_deref()), (401, Some("bad-key")));
        assert!(seen.is_not_run());

        let id = next(&mut sent, None);
        let headers = [
            ("Standin-Id", id.as_str()),
            ("Cassiashunt-Workspace", "ward-7"),
        ];
        assert!(
            anonymous
                .send(addr, "GET", "/open", &headers)
                .expect("answered")
                .is_ok()
        );

        let encoded = format!("/photos?k=%63assia%5F{}&bytes=10", &KEY[7..]);
        let id = next(&mut sent, Some("ward-7"));
        let keyed = [
            ("Standin-Id", id.as_str()),
            ("X-Api-Key", KEY),
            ("COOKIE", KEY),
        ];
        assert!(
            caller
                .send(addr, "GET", &encoded, &keyed)
                .expect("answered")
                .is_ok()
        );

        let id = next(&mut sent, Some("ward-7"));
        let target = format!("/sections?key={KEY}");
        let headers = [("Standin-Id", id.as_str())];
        assert!(
            caller
                .send(addr, "GET", &target, &headers)
                .expect("answered")
                .is_ok()
        );

        let id = next(&mut sent, None);
        let two = [("Standin-Id", id.as_str()), ("X-Api-Key", OTHER_KEY)];
        let seen = caller.send(addr, "GET", "/photos", &two).expect("answered");
        assert_eq!(
            (seen.status, seen.code.as_deref()),
            (400, Some("bad-request"))
        );

        let id = next(&mut sent, None);
        let target = format!("/photos/{KEY}");
        let seen = caller
            .send(addr, "GET", &target, &[("Standin-Id", &id)])
            .expect("answered");
        assert_eq!(seen.status, 400);
    }
    let records = runs(&fleet);
    assert!(!records.is_empty());
    let direct: Vec<Run> = records
        .iter()
        .filter(|r| r.path != "/stock")
        .map(run_of)
        .collect();
    assert_eq!(check_workspaces(&sent, &direct), Ok(()));
    let children = records.iter().filter(|record| record.path == "/stock");
    assert!(children.clone().count() >= 6);
    assert!(
        children
            .clone()
            .all(|record| record.workspace.as_deref() == Some("ward-7"))
    );
    assert_eq!(check_secrecy(&records, &[KEY, OTHER_KEY]), Ok(()));
}

#[test]
fn p03_the_checker_rejects_a_borrowed_workspace_and_a_run_that_was_never_sent() {
    let sent = [Sent {
        id: "a".into(),
        workspace: Some("ward-7"),
    }];
    let run = |id: &str, workspace: &str| Run {
        id: id.into(),
        workspace: Some(workspace.into()),
    };
    assert!(check_workspaces(&sent, &[run("a", "ward-7")]).is_ok());
    assert!(check_workspaces(&sent, &[run("a", "ward-8")]).is_err());
    assert!(check_workspaces(&sent, &[run("b", "ward-7")]).is_err());
}
