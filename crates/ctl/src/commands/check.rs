//! `tillerctl check`.

use serde_json::json;

use crate::arguments::Arguments;
use crate::commands::read_file;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use tt_model::Environment;

const HELP: &str = "\
Usage: tillerctl check DOCUMENT [--json]

Checks a whole document without contacting a daemon, and prints every fault with its line and
column.
";

/// Checks a document.
pub(crate) fn check(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
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
