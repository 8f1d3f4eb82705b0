//! An invalid settings file is refused with the position, the field and what was expected.

use std::path::Path;

use insta::assert_snapshot;

use tt_daemon::Settings;

const VALID: &str = r#"{
  // A comment.
  "domain": "a",
  "listen": {
    "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"
  },
  "platform": "127.0.0.1:4"
}"#;

fn check(text: &str) -> String {
    match Settings::parse(Path::new("vm.jsonc"), text) {
        Ok(settings) => format!("valid: {}", settings.domain),
        Err(error) => error.to_string(),
    }
}

fn check_change(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the change applies to the settings");
    check(&VALID.replace(from, to))
}

#[test]
fn valid_settings_are_accepted() {
    assert_snapshot!(check(VALID), @"valid: a");
}

// Guards against sample settings that the daemon refuses when an operator copies them.
#[test]
fn sample_settings_are_accepted() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/settings");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("the samples are there").flatten() {
        Settings::load(&file.path()).expect("a sample is valid");
        count += 1;
    }
    assert!(count > 0, "there are samples");
}

// Guards against a misspelt field that is silently ignored.
#[test]
fn unknown_fields_are_refused() {
    assert_snapshot!(check_change(r#""domain""#, r#""dommain""#), @"vm.jsonc:3:11: unknown field `dommain`, expected one of `domain`, `weight`, `listen`, `platform`, `peers`, `callers`, `threads`, `policy`, `log` at line 3 column 11 (result code 600 SettingsInvalid)");
}

#[test]
fn wrong_types_are_refused() {
    assert_snapshot!(check_change(r#""127.0.0.1:4""#, r#""localhost""#), @"vm.jsonc:7:25: invalid socket address syntax at line 7 column 25 (result code 600 SettingsInvalid)");
    assert_snapshot!(check_change(r#""a","#, r#""a", "weight": -1,"#), @"vm.jsonc:3:29: invalid value: integer `-1`, expected u32 at line 3 column 29 (result code 600 SettingsInvalid)");
}

// Guards against a daemon that announces an address at which other daemons cannot reach it.
#[test]
fn unspecified_addresses_are_refused() {
    assert_snapshot!(check_change("127.0.0.1:3", "0.0.0.0:3"), @"vm.jsonc: listen: expected the address that others use, found 0.0.0.0 or :: (result code 600 SettingsInvalid)");
}

#[test]
fn values_out_of_range_are_refused() {
    assert_snapshot!(check_change(r#""a","#, r#""a", "threads": 0,"#), @"vm.jsonc: threads: expected 1 to 256, found 0 (result code 600 SettingsInvalid)");
    assert_snapshot!(check_change(r#""a""#, r#""""#), @"vm.jsonc: domain: expected the name of a failure domain (result code 600 SettingsInvalid)");
    assert_snapshot!(check_change("127.0.0.1:2", "127.0.0.1:1"), @"vm.jsonc: listen: expected three different addresses (result code 600 SettingsInvalid)");
}

#[test]
fn a_missing_file_is_refused() {
    let error = Settings::load(Path::new("missing.jsonc")).expect_err("there is no file");
    assert_snapshot!(error.to_string(), @"missing.jsonc: No such file or directory (os error 2) (result code 601 SettingsUnreadable)");
}

// Guards against a stack overflow on deeply nested input.
#[test]
fn deep_nesting_is_refused() {
    let text = format!("{{\"domain\": {}", "[".repeat(200_000));
    assert_snapshot!(check(&text), @"vm.jsonc:1:11: invalid type: sequence, expected a string at line 1 column 11 (result code 600 SettingsInvalid)");
}
