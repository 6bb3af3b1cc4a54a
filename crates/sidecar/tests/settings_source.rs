//! Settings from a file and from the command line.

use std::path::PathBuf;

use cassiashunt_sidecar::{Settings, SettingsError, SettingsSource};

const FILE: &str = r#"
name = "node-0"
domain = "east"
service = "desk"

[addresses]
requests = "127.0.0.1:1"
peers = "127.0.0.1:2"
ready = "127.0.0.1:3"
heartbeats = "127.0.0.1:4"
server = "127.0.0.1:5"

[store]
address = "127.0.0.1:6"

[bounds]
key-withdrawal-ms = 5000
grace-s = 6
retry-ratio = 0.2
retry-slack = 48
retry-window-s = 10
"#;

fn read(name: &str, values: &[&str]) -> Result<Settings, SettingsError> {
    let file = format!("cassiashunt-{name}-{}.toml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, FILE).expect("cannot write the file");
    let source = SettingsSource {
        path: path.clone(),
        values: values.iter().map(|it| (*it).to_owned()).collect(),
    };
    let settings = source.read();
    // Nothing is left to do where it fails.
    let _ = std::fs::remove_file(path);
    settings
}

#[test]
fn values_of_the_command_line_go_before_the_file_and_empty_ones_are_not_given() {
    let values = [
        "limits.memory-mb=160",
        "limits.max-fds=",
        "bounds.warm-up-excess=1.5",
        "bounds.warm-up-slack=8",
        "bounds.retry-slack=99",
    ];
    let settings = read("given", &values).expect("the settings are refused");
    assert_eq!(
        (settings.limits.memory_mb, settings.limits.max_fds),
        (160, None)
    );
    let bounds = &settings.bounds;
    let read = (
        bounds.warm_up_excess,
        bounds.warm_up_slack,
        bounds.retry_slack,
    );
    assert_eq!(read, (1.5, 8.0, 99.0));
}

#[test]
fn unusable_values_of_the_command_line_are_refused() {
    for odd in [
        "memory-mb",
        "limits=160",
        "limits.memory-mb=much",
        "limits.memory=160",
        "limits.memory-mb=1",
    ] {
        assert!(read("odd", &[odd]).is_err(), "{odd}");
    }
    assert!(read("plain", &[]).is_ok());
}
