//! `review-kit CASE FOLDER`: plays a case of the review and writes `record.txt` into its folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod again;
mod crash;
mod drain;
mod foreign;
mod growth;
mod keys;
mod kit;
mod memory;
mod quota;
mod stop;

use std::{path::Path, process::ExitCode};

use kit::{End, Record};

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-kit CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{folder}/record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble: {has_trouble}"));
    let end = match case.as_str() {
        "foreign-report" => foreign::report(&record, has_trouble),
        "late-report" => drain::late_report(&record, has_trouble),
        "forgotten-strikes" => crash::forgotten(&record, has_trouble),
        "long-name" => keys::long_name(&record, has_trouble),
        "shorter-bound" => keys::shorter_bound(&record, has_trouble),
        "stale-home" => quota::stale_home(&record, has_trouble),
        "stop-slow-readers" => stop::slow_readers(&record, has_trouble),
        "left-and-back" => again::left_and_back(&record, has_trouble),
        "unread-metrics" => growth::unread_metrics(&record, has_trouble),
        "uploads" => memory::uploads(&record, has_trouble),
        "slow-readers" => memory::slow_readers(&record, has_trouble),
        other => End::NotRun(format!("no case {other}")),
    };
    match end {
        End::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        End::Broken => {
            record.line("the rule was BROKEN");
            ExitCode::from(1)
        }
        End::NotRun(reason) => {
            record.line(format!("not run: {reason}"));
            eprintln!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
