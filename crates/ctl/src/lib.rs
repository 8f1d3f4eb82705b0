//! `tillerctl`, the command-line tool for operators and testers.
//!
//! [`run`] parses the command line and runs one command. Every command prints either text for
//! people or, with `--json`, one line of JSON. The exit code is 0 if the command succeeded, 1 if
//! it failed, for example because a daemon refused it or an invariant did not hold, and 2 if the
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
tillerctl: the command-line tool of trefoiltiller for operators and testers

Usage: tillerctl COMMAND [OPTIONS]

Commands:
  demo       run a whole tier with stand-ins on loopback
  check      check a document without contacting a daemon
  env        try, promote and inspect documents
  query      send one query
  entries    ask a daemon which entry addresses to use
  status     show the state of a running daemon
  standin    serve stand-ins for the platform and the searchers of a document
  bench      run measurement scenarios

`tillerctl COMMAND --help` describes a command.

Options:
  --json       print the result as JSON
  -h, --help   print this text
  --version    print the version

Exit codes: 0 success, 1 the command failed or an invariant did not hold, 2 invalid command line.
";

/// Runs one command line, without the name of the program, and returns its exit code.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let mut arguments = Arguments::new(arguments);
    let command = match arguments.command() {
        Ok(command) => command,
        Err(failure) => return failure.report(arguments.format()),
    };
    let result = match command.as_deref() {
        None if arguments.wants_version() => {
            println!("tillerctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        None => {
            print!("{HELP}");
            if arguments.wants_help() {
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
        Some(other) => Err(Failure::usage(format!("unknown command `{other}`"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(arguments.format()),
    }
}
