//! The operators' and testers' tool.
//!
//! [`run`] reads the command line and carries out one command. Every command prints either
//! text for people or, with `--json`, one JSON object, and ends with exit code 0 if it did
//! what it was asked, 1 if the tier refused or an invariant did not hold, and 2 if the
//! command line is not valid.

mod arguments;
mod client;
mod commands;
mod demo;
mod output;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::arguments::Arguments;
use crate::output::Failure;

const HELP: &str = "\
tillerctl: the operators' and testers' tool of trefoiltiller

Usage: tillerctl COMMAND [OPTIONS]

Commands:
  demo       run a whole tier with stand-ins on loopback
  check      check a document without changing anything
  env        try, promote and inspect documents
  query      send one query
  entries    ask which entry addresses to use
  status     show what a running entry knows and believes
  standin    serve stand-ins for the platform and the searchers of a document
  bench      run measurement scenarios

`tillerctl COMMAND --help` describes a command.

Options:
  --json       print one JSON object
  -h, --help   print this text
  --version    print the version

Exit codes: 0 done, 1 refused or an invariant did not hold, 2 wrong command line.
";

/// Carries out one command line.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let mut arguments = Arguments::new(arguments);
    let command = match arguments.command() {
        Ok(command) => command,
        Err(failure) => return failure.report(arguments.format()),
    };
    let result = match command.as_deref() {
        None if arguments.version() => {
            println!("tillerctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        None => {
            print!("{HELP}");
            if arguments.help() {
                Ok(())
            } else {
                Err(Failure::usage("expected a command".to_owned()))
            }
        }
        Some("demo") => commands::demo(&mut arguments),
        Some("check") => commands::check(&mut arguments),
        Some("env") => commands::env(&mut arguments),
        Some("query") => commands::query(&mut arguments),
        Some("entries") => commands::entries(&mut arguments),
        Some("status") => commands::status(&mut arguments),
        Some("standin") => commands::standin(&mut arguments),
        Some("bench") => commands::bench(&mut arguments),
        Some(other) => Err(Failure::usage(format!("there is no command `{other}`"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(arguments.format()),
    }
}
