//! The page on result codes matches `ResultCode`, and codes can be found by number.

use std::fmt::Write;

use tt_model::Ran;
use tt_model::ResultCode;

fn expected_rows() -> String {
    let mut text = String::new();
    for &code in ResultCode::ALL {
        let ran = match code.ran() {
            Ran::Yes => "yes",
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let (number, name, status) = (code.number(), code.name(), code.http_status());
        writeln!(text, "| {number} | `{name}` | {status} | {ran} | {} |", code.text())
            .expect("writing to a string");
    }
    text
}

// Guards against a code that is missing on the page or described wrongly there, because only
// the source was changed: an operator or caller who receives it could not look it up.
#[test]
fn the_page_lists_every_code() {
    let path = format!("{}/../../docs/result-codes.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).expect("the page is in the repository");
    let rows: String = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| format!("{line}\n"))
        .collect();
    assert_eq!(rows, expected_rows());
}

// Guards against a number that is decoded to another code or to none: a daemon would report
// another result than its peer sent.
#[test]
fn every_code_is_found_by_its_number() {
    for &code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
}
