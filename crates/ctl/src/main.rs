//! `tillerctl`, the operators' and testers' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    tt_ctl::run(arguments)
}
