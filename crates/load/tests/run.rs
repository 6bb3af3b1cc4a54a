//! Whole runs against stand-ins: outcomes, retries, faults, and the load's own bounds.

mod common;

use std::{net::SocketAddr, time::Duration};

use cassiashunt_load::{
    Experiment, Fleet,
    experiment::{Retries, RetryMode, Variant},
    fleet::{self, Ingress},
    report::Report,
    run,
};
use cassiashunt_standin::server::{self, Endpoint, Handle, ServiceTime};
use eyre::bail;

fn options() -> run::Options {
    run::Options {
        progress: false,
        ..Default::default()
    }
}

fn no_nodes(_: &Experiment, _: &Variant) -> eyre::Result<Fleet> {
    bail!("no nodes here")
}

/// The small experiment with one short phase and one kind of request.
fn short(retries: Retries) -> Experiment {
    let mut experiment = common::experiment();
    experiment.phases.truncate(1);
    experiment.phases[0].seconds = 0.5;
    experiment.requests.remove(0);
    experiment.client.retries = retries;
    experiment
}

fn count(report: &Report, outcome: &str) -> u64 {
    let outcomes = report.phases.iter().flat_map(|phase| &phase.outcomes);
    outcomes
        .filter(|counted| counted.outcome == outcome)
        .map(|counted| counted.count)
        .sum()
}

fn total(report: &Report) -> u64 {
    let outcomes = report.phases.iter().flat_map(|phase| &phase.outcomes);
    outcomes.map(|counted| counted.count).sum()
}

fn one(experiment: &Experiment, server: &Handle) -> Report {
    let addr = server.addr;
    let mut experiment = experiment.clone();
    experiment.variants[0].launch = cassiashunt_load::experiment::Launch::Nodes;
    let launch = move |_: &Experiment, _: &Variant| {
        Ok(Fleet {
            ingress: vec![Ingress {
                addr,
                service: None,
            }],
            apply: Box::new(|_| bail!("no faults here")),
            stop: Box::new(|| {}),
        })
    };
    let comparison = run::run(&experiment, &options(), &launch).expect("the run ends well");
    comparison
        .reports
        .into_iter()
        .next()
        .expect("there is one variant")
}

fn serve(options: server::Options) -> Handle {
    server::serve(options).expect("loopback has a free port")
}

#[test]
fn a_direct_run_below_capacity_is_answered_whole_through_the_call_graph() {
    let mut experiment = common::experiment();
    experiment.phases.truncate(1);
    experiment.phases[0].seconds = 0.5;
    let comparison = run::run(&experiment, &options(), &no_nodes).expect("the run ends well");
    let report = &comparison.reports[0];
    assert!(total(report) > 20);
    assert_eq!(
        count(report, "whole"),
        total(report),
        "{:?}",
        report.phases[0].outcomes
    );
    let history = report.history;
    assert!(history.runs > total(report), "child calls are runs as well");
    assert_eq!(
        (
            history.ran_again,
            history.ran_though_refused,
            history.most_runs
        ),
        (0, 0, 1)
    );
}

#[test]
fn a_refusal_by_the_server_is_not_run_and_a_hard_client_tries_up_to_its_limit() {
    let server = serve(server::Options {
        shed_rate: 1.0,
        ..Default::default()
    });
    let retries = Retries {
        mode: RetryMode::Hard,
        limit: 2,
        pause_ms: 1,
        patience_ms: 5_000,
    };
    let report = one(&short(retries), &server);
    assert_eq!(count(&report, "not run"), total(&report));
    assert!((report.phases[0].retries_per_request - 2.0).abs() < 1e-9);
    let patient = Retries {
        mode: RetryMode::RetryAfter,
        ..retries
    };
    let report = one(&short(patient), &server);
    assert!(
        report.phases[0].retries_per_request < 1e-9,
        "the answer has no Retry-After"
    );
}

#[test]
fn failures_may_have_run_and_slow_answers_time_out() {
    let failing = serve(server::Options {
        failure_rate: 1.0,
        ..Default::default()
    });
    let report = one(&short(Retries::default()), &failing);
    assert_eq!(count(&report, "may have run"), total(&report));
    let slow = serve(server::Options {
        slots: 1_000,
        endpoints: vec![Endpoint {
            service_time: ServiceTime {
                mean_ms: 60_000.0,
                ..Default::default()
            },
            ..Default::default()
        }],
        ..Default::default()
    });
    let mut experiment = short(Retries::default());
    experiment.requests[0].timeout_ms = 100;
    experiment.variants[0].deadlines = false;
    let report = one(&experiment, &slow);
    assert_eq!(
        count(&report, "timed out"),
        total(&report),
        "{:?}",
        report.phases[0].outcomes
    );
}

#[test]
fn an_answer_that_is_shorter_than_asked_for_is_corrupt() {
    let server = serve(server::Options::default());
    let mut experiment = short(Retries::default());
    experiment.services[0].endpoints[1].bytes = 5_000;
    let report = one(&experiment, &server);
    assert_eq!(count(&report, "corrupt"), total(&report));
}

#[test]
fn too_few_callers_leave_requests_unsent_and_the_report_says_so() {
    let server = serve(server::Options::default());
    let mut experiment = short(Retries::default());
    experiment.client_one_way_ms = 25.0;
    experiment.client.threads = 1;
    experiment.requests[0].timeout_ms = 100;
    let report = one(&experiment, &server);
    assert!(
        count(&report, "unsent") > 0,
        "{:?}",
        report.phases[0].outcomes
    );
    assert!(report.phases[0].lateness.max >= 100.0);
}

#[test]
fn faults_are_applied_to_the_servers_and_one_that_cannot_be_is_told() {
    let mut experiment = short(Retries::default());
    let text = "faults = [{ fault = { kind = \"fail\", service = \"root\", rate = 1.0 } }, \
                { fault = { kind = \"platform-down\" } }]";
    let faults = text.parse::<toml::Table>().expect("the text is TOML")["faults"].clone();
    experiment.phases[0].faults = faults.try_into().expect("the faults are well-formed");
    let comparison = run::run(&experiment, &options(), &no_nodes).expect("the run ends well");
    let report = &comparison.reports[0];
    assert!(count(report, "may have run") > 0);
    assert_eq!(
        report.faults_failed.len(),
        1,
        "servers alone have no platform"
    );
    assert!(report.faults_failed[0].contains("PlatformDown"));
}

#[test]
fn load_outside_loopback_is_refused() {
    let mut experiment = short(Retries::default());
    experiment.variants[0].launch = cassiashunt_load::experiment::Launch::Nodes;
    let launch = |_: &Experiment, _: &Variant| {
        Ok(Fleet {
            ingress: vec![Ingress {
                addr: SocketAddr::from(([192, 0, 2, 1], 80)),
                service: None,
            }],
            apply: Box::new(|_| Ok(())),
            stop: Box::new(|| {}),
        })
    };
    let refused = run::run(&experiment, &options(), &launch);
    let told = format!("{:#}", refused.expect_err("the address is not on loopback"));
    assert!(
        told.contains("192.0.2.1:80 is no loopback address"),
        "{told}"
    );
}

#[test]
fn an_unknown_variant_is_named() {
    let only = run::Options {
        only: vec!["sideways".into()],
        ..options()
    };
    let refused = run::run(&common::experiment(), &only, &no_nodes);
    let told = refused.expect_err("there is no such variant").to_string();
    assert!(told.contains("sideways"));
}

#[test]
fn a_crashed_server_of_a_direct_fleet_comes_back() {
    let experiment = common::experiment();
    let variant = &experiment.variants[0];
    let servers = fleet::Servers::start(&experiment, variant).expect("loopback has free ports");
    let service = "leaf".parse().expect("a label");
    let kill = cassiashunt_load::experiment::Fault::KillServer { service, server: 0 };
    let restart = cassiashunt_load::experiment::Fault::RestartServer { service, server: 0 };
    let leaf = servers
        .list
        .iter()
        .find(|s| s.service == service)
        .expect("there is a leaf");
    assert!(servers.apply(&kill).expect("it can be crashed"));
    assert!(leaf.handle.is_down());
    assert!(servers.apply(&restart).expect("it can be started"));
    assert!(!leaf.handle.is_down());
    let connect = std::net::TcpStream::connect_timeout(&leaf.handle.addr, Duration::from_secs(5));
    assert!(connect.is_ok());
}
