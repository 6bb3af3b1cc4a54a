//! The settings examples are right, and wrong settings are told by file, key and reason.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// The exit code for a wrong command line or file.
const USAGE: Option<i32> = Some(2);

fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    root.expect("the package stands in the workspace")
        .join("examples")
        .join(name)
}

fn check(file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiashunt"));
    command
        .arg("check")
        .arg(file)
        .output()
        .expect("the binary can be started")
}

/// Checks the Lagos example with one line replaced, and gives the exit code and the error.
fn check_broken(name: &str, right: &str, wrong: &str) -> (PathBuf, Option<i32>, String) {
    let text = fs::read_to_string(example("lagos-node.toml")).expect("the example is there");
    assert!(text.contains(right), "the example has {right:?}");
    let file = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    fs::write(&file, text.replace(right, wrong)).expect("the temporary folder can be written");
    let output = check(&file);
    fs::remove_file(&file).expect("the file was written just now");
    let error = String::from_utf8(output.stderr).expect("errors are text");
    (file, output.status.code(), error)
}

/// The error of a broken example; it has to name the file and end with the code for usage.
fn error_of(name: &str, right: &str, wrong: &str) -> String {
    let (file, code, error) = check_broken(name, right, wrong);
    assert_eq!(code, USAGE, "{error}");
    assert!(error.contains(&file.display().to_string()), "{error}");
    error
}

#[test]
fn both_examples_are_accepted_and_their_secrets_are_not_shown() {
    for name in ["lagos-node.toml", "saigon-node.toml"] {
        let output = check(&example(name));
        let shown = String::from_utf8(output.stdout).expect("settings are text");
        assert_eq!(output.status.code(), Some(0), "{name}");
        assert!(shown.contains("freshness-ms = 2000"), "{shown}");
        assert!(!shown.contains("replace-this"), "{shown}");
    }
}

#[test]
fn an_unknown_key_is_told_with_the_known_ones() {
    let error = error_of("unknown-key", "slots = 70", "slots = 70\nslotz = 3");
    assert!(error.contains("slotz"), "{error}");
    assert!(error.contains("unknown field"), "{error}");
}

#[test]
fn a_bad_address_is_told_with_its_key_and_reason() {
    let error = error_of("bad-address", "\"10.1.0.11:8080\"", "\"10.1.0.300:8080\"");
    assert!(error.contains("callers"), "{error}");
    assert!(error.contains("invalid socket address"), "{error}");
}

#[test]
fn a_short_secret_is_told_with_its_key_and_reason() {
    let error = error_of(
        "short-secret",
        "\"replace-this-shared-secret\"",
        "\"short\"",
    );
    assert!(error.contains("node.secret"), "{error}");
    assert!(error.contains("at least 16 bytes"), "{error}");
}

#[test]
fn a_missing_file_is_told_by_its_name() {
    let output = check(&example("no-such-file.toml"));
    let error = String::from_utf8(output.stderr).expect("errors are text");
    assert_eq!(output.status.code(), USAGE, "{error}");
    assert!(error.contains("no-such-file.toml"), "{error}");
}
