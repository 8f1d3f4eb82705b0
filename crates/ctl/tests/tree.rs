//! Checks rules for the sources that neither the formatter nor the linter checks.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Maximum number of lines of a source file; longer files must be split by concern.
const MAX_LINES: usize = 700;

/// The paths and texts of all source files that are not generated.
fn sources() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    collect(&root, &mut files);
    collect(&root.join("../platform"), &mut files);
    assert!(files.len() > 50, "the sources are found");
    files
}

/// Adds the source files below a folder.
fn collect(folder: &Path, files: &mut Vec<(PathBuf, String)>) {
    for entry in fs::read_dir(folder).expect("the folder can be read").flatten() {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && name != "generated" && name != "target" {
            collect(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.components().any(|part| part.as_os_str() == "generated")
        {
            let text = fs::read_to_string(&path).expect("the file can be read");
            files.push((path, text));
        }
    }
}

/// Fails if `violation` returns a text for any source file; the message names file and text.
fn check<F>(rule: &str, violation: F)
where
    F: Fn(&str) -> Option<String>,
{
    let violations: Vec<String> = sources()
        .iter()
        .filter_map(|(path, text)| Some(format!("{}: {}", path.display(), violation(text)?)))
        .collect();
    assert!(violations.is_empty(), "{rule}:\n{}", violations.join("\n"));
}

/// The lines of imports at the top level of a file.
fn imports(text: &str) -> impl Iterator<Item = &str> {
    text.lines().filter(|line| {
        (line.starts_with("use ") || line.starts_with("pub use ")) && !line.contains("::{self}")
    })
}

#[test]
fn an_import_names_one_item() {
    check("an import must name one item", |text| {
        imports(text)
            .find(|line| {
                line.contains('{') || (line.contains('*') && !line.ends_with("prelude::*;"))
            })
            .map(str::to_owned)
    });
}

#[test]
fn imports_are_in_three_groups() {
    check("imports: std, other crates, this workspace, with a blank line between", |text| {
        let mut last = None;
        let mut blank = false;
        for line in text.lines().skip_while(|line| !line.starts_with("use ")) {
            if line.is_empty() {
                blank = true;
                continue;
            }
            let group = group(line)?;
            let is_placed = match last {
                None => true,
                Some(last) if last == group => !blank,
                Some(last) => last < group && blank,
            };
            if !is_placed {
                return Some(line.to_owned());
            }
            last = Some(group);
            blank = false;
        }
        None
    });
}

/// The group of an import: 0 for std, 1 for other crates, 2 for this workspace. `None` for a line
/// that is no import, which ends the check.
fn group(line: &str) -> Option<u8> {
    let path = line.strip_prefix("use ")?;
    let own = ["crate::", "super::", "self::", "tt_"];
    if path.starts_with("std::") || path.starts_with("core::") {
        return Some(0);
    }
    Some(if own.iter().any(|prefix| path.starts_with(prefix)) { 2 } else { 1 })
}

#[test]
fn files_start_with_a_module_comment() {
    check("a file must start with a `//!` comment", |text| {
        (!text.starts_with("//! ")).then(|| text.lines().next().unwrap_or_default().to_owned())
    });
}

#[test]
fn files_have_no_licence_notice() {
    let words =
        ["copy".to_owned() + "right", "SPDX".to_owned() + "-", "Licensed".to_owned() + " under"];
    check("a file must not have a banner or licence notice", |text| {
        words.iter().find(|word| text.to_lowercase().contains(&word.to_lowercase())).cloned()
    });
}

#[test]
fn files_are_not_longer_than_the_limit() {
    check("a longer file must be split", |text| {
        let lines = text.lines().count();
        (lines > MAX_LINES).then(|| format!("{lines} lines"))
    });
}

#[test]
fn debug_is_derived_first() {
    check("`Debug` must be the first derive", |text| {
        text.lines()
            .map(str::trim)
            .filter(|line| line.starts_with("#[derive(") && line.contains("Debug"))
            .find(|line| !line.starts_with("#[derive(Debug"))
            .map(str::to_owned)
    });
}

// Guards against a change of the `.proto` file without running the generator.
#[test]
fn generated_code_has_the_names_of_the_proto_file() {
    let rpc = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rpc");
    let proto = fs::read_to_string(rpc.join("proto/tier.proto")).expect("the file is there");
    let code = fs::read_to_string(rpc.join("src/generated/trefoiltiller.v1.rs"))
        .expect("the generated code is there");
    let mut names = 0;
    for line in proto.lines().map(str::trim).filter(|line| !line.starts_with("syntax")) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let expected = match words.as_slice() {
            ["message", name, ..] => format!("pub struct {name}"),
            ["enum", name, ..] => format!("pub enum {name}"),
            ["service", name, ..] => format!("pub trait {name}"),
            ["rpc", call, ..] => {
                format!("/trefoiltiller.v1.Tier/{}", call.split('(').next().unwrap_or(""))
            }
            ["repeated", _, name, "=", ..] | [_, name, "=", ..] if line.ends_with(';') => {
                let constant = name.chars().all(|c| c.is_ascii_uppercase() || c == '_');
                if constant { format!("\"{name}\"") } else { format!("pub {name}: ") }
            }
            [name, "=", _] if line.ends_with(';') => format!("\"{name}\""),
            _ => continue,
        };
        names += 1;
        assert!(code.contains(&expected), "the generated code lacks `{expected}`");
    }
    assert!(names > 30, "the names of the file are found");
}
