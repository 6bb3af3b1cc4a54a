//! The example settings are valid, and an error in settings names the file, the key and the reason.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// The exit code for an invalid command line or settings file.
const USAGE_EXIT_CODE: Option<i32> = Some(2);

fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    root.expect("the package folder has no parent")
        .join("examples")
        .join(name)
}

fn check(file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiashunt"));
    command
        .arg("check")
        .arg(file)
        .output()
        .expect("cannot start the binary")
}

/// Checks the Lagos example with `valid` replaced by `invalid`; returns the file, the exit code and
/// standard error.
fn check_invalid(name: &str, valid: &str, invalid: &str) -> (PathBuf, Option<i32>, String) {
    let text = fs::read_to_string(example("lagos-node.toml")).expect("cannot read the example");
    assert!(text.contains(valid), "{valid:?} is not in the example");
    let file = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    fs::write(&file, text.replace(valid, invalid)).expect("cannot write the changed example");
    let output = check(&file);
    fs::remove_file(&file).expect("cannot remove the changed example");
    let error = String::from_utf8(output.stderr).expect("standard error is not UTF-8");
    (file, output.status.code(), error)
}

/// The error for an invalid example; checks that it names the file and that the exit code is
/// [`USAGE_EXIT_CODE`].
fn error_of(name: &str, valid: &str, invalid: &str) -> String {
    let (file, code, error) = check_invalid(name, valid, invalid);
    assert_eq!(code, USAGE_EXIT_CODE, "{error}");
    assert!(error.contains(&file.display().to_string()), "{error}");
    error
}

#[test]
fn both_examples_are_accepted_and_their_secrets_are_not_printed() {
    for name in ["lagos-node.toml", "saigon-node.toml"] {
        let output = check(&example(name));
        let printed = String::from_utf8(output.stdout).expect("standard output is not UTF-8");
        assert_eq!(output.status.code(), Some(0), "{name}");
        assert!(printed.contains("freshness-ms = 2000"), "{printed}");
        assert!(!printed.contains("replace-this"), "{printed}");
    }
}

#[test]
fn an_unknown_key_is_reported_by_name() {
    let error = error_of("unknown-key", "slots = 70", "slots = 70\nslotz = 3");
    assert!(error.contains("slotz"), "{error}");
    assert!(error.contains("unknown field"), "{error}");
}

#[test]
fn an_invalid_address_is_reported_with_its_key_and_reason() {
    let error = error_of("bad-address", "\"10.1.0.11:8080\"", "\"10.1.0.300:8080\"");
    assert!(error.contains("callers"), "{error}");
    assert!(error.contains("invalid socket address"), "{error}");
}

#[test]
fn a_short_secret_is_reported_with_its_key_and_reason() {
    let error = error_of(
        "short-secret",
        "\"replace-this-shared-secret\"",
        "\"short\"",
    );
    assert!(error.contains("node.secret"), "{error}");
    assert!(error.contains("at least 16 bytes"), "{error}");
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let output = check(&example("no-such-file.toml"));
    let error = String::from_utf8(output.stderr).expect("standard error is not UTF-8");
    assert_eq!(output.status.code(), USAGE_EXIT_CODE, "{error}");
    assert!(error.contains("no-such-file.toml"), "{error}");
}
