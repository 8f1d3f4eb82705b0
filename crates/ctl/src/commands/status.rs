//! `tillerctl status`.

use serde_json::Value;

use crate::arguments::Arguments;
use crate::client;
use crate::commands::block_on;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use crate::output::print_value;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;

const HELP: &str = "\
Usage: tillerctl status --at ADDRESS [--json]

Shows the state of a running daemon: the configuration in force, the age of its listing of
searchers, the number of daemons among which limits are divided, the daemons that it hears from,
what callers hold at each of its interfaces, and for each searcher whether and why it gets
requests. ADDRESS is its address for other daemons.
";

/// Shows the status of a daemon.
pub(crate) fn status(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let address = arguments.daemon_address()?;
    arguments.finish()?;
    let request = HttpRequest::get(address, "/v1/status".to_owned());
    let status = block_on(async { client::send_json(&HttpClient::new(), request).await })??;
    match arguments.format() {
        Format::Json => print_value(Format::Json, &status),
        Format::Text => print_text(&status),
    }
    Ok(())
}

fn print_text(status: &Value) {
    let listing = match status["listing"]["age_ms"].as_u64() {
        Some(age) => format!("listing {age} ms old"),
        None => "no listing yet".to_owned(),
    };
    print_line(format!(
        "{} in {}: {}, configuration {}, {listing}, limits among {} daemons",
        cell(&status["vm"]),
        cell(&status["domain"]),
        cell(&status["state"]),
        status["config"]["version"],
        status["limits"]["daemons"],
    ));
    let held = ["interface", "bytes", "max_bytes", "connections", "max_connections", "waiting"];
    print_rows(&status["memory"], &held);
    print_rows(&status["daemons"], &["vm", "domain", "state", "version", "heard_ms_ago"]);
    let columns = ["pool", "id", "domain", "availability", "left_ms", "outstanding"];
    print_rows(
        &status["searchers"],
        &[&columns[..], &["slowness", "faults", "limit_per_s"]].concat(),
    );
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints a table with a header, a line for each object and a column for each key.
fn print_rows(rows: &Value, columns: &[&str]) {
    let mut lines = vec![columns.iter().map(|&column| column.to_owned()).collect::<Vec<_>>()];
    for row in rows.as_array().into_iter().flatten() {
        lines.push(columns.iter().map(|&column| cell(&row[column])).collect());
    }
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| lines.iter().map(|line| line[column].len()).max().unwrap_or(0))
        .collect();
    print_line("");
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        print_line(cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
