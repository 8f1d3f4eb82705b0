//! `tillerctl check`.

use std::path::Path;

use serde_json::json;

use crate::arguments::Arguments;
use crate::commands::read_file;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use tt_adapter::decode_config;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_serve::Config;
use tt_serve::Severity;
use tt_serve::check_config;
use tt_serve::compare_configs;

const HELP: &str = "\
Usage: tillerctl check DOCUMENT [--json]
       tillerctl check --platform CONFIG [--against CONFIG] [--json]

Checks a whole document without contacting a daemon, and prints every fault with its line and
column.

With --platform, checks an operator's configuration on the users' platform: errors, entries that can
never match, and limits that contradict each other. Fails if there are errors.

  --against  the version in force; what differs from it is printed too
";

/// Checks a document.
pub(crate) fn check(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.flag("--platform") {
        return check_platform(arguments);
    }
    let path = arguments.path("the path of a document")?;
    arguments.finish()?;
    let text = read_file(&path)?;
    let environment = Environment::parse(&text)
        .map_err(|faults| Failure::new(faults.code, format!("{}: {faults}", path.display())))?;
    match arguments.format() {
        Format::Json => print_line(format!(
            "{}",
            json!({
                "environment": environment.name,
                "digest": environment.digest,
                "domains": environment.domains.len(),
                "services": environment.services.len(),
                "searchers": environment.searchers.len(),
                "shards": environment.shards.len(),
            })
        )),
        Format::Text => print_line(format!(
            "{}: valid, digest {}: {} domains, {} services, {} searchers, {} shards",
            environment.name,
            environment.digest,
            environment.domains.len(),
            environment.services.len(),
            environment.searchers.len(),
            environment.shards.len(),
        )),
    }
    Ok(())
}

/// Checks an operator's configuration on the users' platform.
fn check_platform(arguments: &mut Arguments) -> Result<(), Failure> {
    let against = arguments.option::<String>("--against")?;
    let path = arguments.path("the path of a configuration")?;
    arguments.finish()?;
    let config = read_config(&path)?;
    let findings = check_config(&config);
    let changes = match against {
        Some(before) => compare_configs(&read_config(Path::new(&before))?, &config),
        None => Vec::new(),
    };
    let errors = findings.iter().filter(|it| it.severity == Severity::Error).count();
    match arguments.format() {
        Format::Json => {
            let findings = findings.iter().map(|it| {
                json!({
                    "severity": format!("{:?}", it.severity).to_lowercase(),
                    "place": it.place,
                    "text": it.text,
                })
            });
            let findings: Vec<_> = findings.collect();
            print_line(json!({
                "version": config.version,
                "findings": findings,
                "changes": changes,
            }));
        }
        Format::Text => {
            findings.iter().for_each(print_line);
            changes.iter().for_each(print_line);
            let warnings = findings.len() - errors;
            print_line(format!("version {}: {errors} errors, {warnings} warnings", config.version));
        }
    }
    if errors > 0 {
        let detail = format!("{}: {errors} errors", path.display());
        return Err(Failure::new(ResultCode::InvalidDocument, detail));
    }
    Ok(())
}

fn read_config(path: &Path) -> Result<Config, Failure> {
    let text = read_file(path)?;
    decode_config(text.as_bytes()).map_err(|error| {
        Failure::new(ResultCode::InvalidDocument, format!("{}: {error}", path.display()))
    })
}
