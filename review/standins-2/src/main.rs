//! Stand-ins of clients, searchers and the platform's store, and the cases that use them.
//!
//! `review-standins-2 CASE FOLDER` plays a case and writes `FOLDER/record.txt`. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the
//! disruption. `KEEP=1` keeps the settings and logs of the daemons.

mod config_storm;
mod drained;
mod http;
mod json;
mod relay_killed;
mod searcher;
mod store;
mod tier;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::thread;
use std::time::Duration;

/// Exit code of a case that could not run.
const NOT_RUN: i32 = 2;

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(115);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        tier::kill_all();
        std::process::exit(NOT_RUN);
    });
    let mut record = tier::Record::new(&format!("{folder}/record.txt"));
    let play = || match case.as_str() {
        "config-storm" => config_storm::play(trouble, &temporary, &mut record),
        "drained" => drained::play(trouble, &temporary, &mut record),
        "relay-killed" => relay_killed::play(trouble, &temporary, &mut record),
        _ => NOT_RUN,
    };
    let code = catch_unwind(AssertUnwindSafe(play)).unwrap_or(NOT_RUN);
    tier::kill_all();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
