//! `tillerctl`, the command-line tool for operators and testers.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    tt_ctl::run(arguments)
}
