//! The command line of an entry.

use std::fs;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;

use serde_json::json;

/// Runs `trefoiltiller entry` with the settings `text` and further arguments.
fn run(name: &str, text: &str, arguments: &[&str]) -> Output {
    let path = std::env::temp_dir().join(format!("tt-entry-{}-{name}.json", std::process::id()));
    fs::write(&path, text).expect("settings");
    let output = Command::new(env!("CARGO_BIN_EXE_trefoiltiller"))
        .arg("entry")
        .args(arguments)
        .env("TREFOILTILLER_CONFIG", &path)
        .output()
        .expect("the program runs");
    fs::remove_file(&path).expect("the settings are there");
    output
}

fn settings(front: &str) -> String {
    json!({
        "node": "vm-1", "zone": "d", "unknown": 1,
        "listen": {"front": front, "ready": "127.0.0.1:0", "directory": "127.0.0.1:0",
                   "control": "127.0.0.1:0"},
        "platform": {"address": "127.0.0.1:1", "min_ttl_ms": 1000},
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                   "retry_budget_extra": 58, "ttl_max_s": 5},
    })
    .to_string()
}

// Guards against an entry that starts although its settings are invalid.
#[test]
fn settings_are_checked_before_the_start() {
    let valid = run("valid", &settings("127.0.0.1:0"), &["--check"]);
    assert_eq!(valid.status.code(), Some(0));
    let invalid = run("invalid", &settings("nowhere"), &["--check"]);
    assert_eq!(invalid.status.code(), Some(2));
    let text = String::from_utf8(invalid.stderr).expect("text");
    assert!(text.contains("invalid socket address"), "{text}");
}

// Guards against buffered log lines that are lost when the process ends early, and against an end
// without an error message.
#[test]
fn an_entry_that_cannot_listen_reports_the_error_and_flushes_its_log() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let output = run("taken", &settings(&address), &[]);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8(output.stderr).expect("text");
    assert!(errors.contains("Address already in use"), "{errors}");
    let log = String::from_utf8(output.stdout).expect("text");
    assert!(log.contains("daemon: state=started vm=vm-1"), "{log:?}");
}

// Guards against a misspelt flag that is silently ignored.
#[test]
fn an_unknown_argument_is_an_error() {
    let output = run("argument", &settings("127.0.0.1:0"), &["--metrics-prot", "1"]);
    assert_eq!(output.status.code(), Some(2));
}
