//! The cases of the review: stand-ins, consumers and checks. `review-cases NAME RECORD` exits with
//! 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod http;
mod json;
mod record;
mod searcher;
mod store;
mod tier;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::new(PathBuf::from(path));
    record.note(&format!("case {name}, trouble {trouble}"));
    let outcome = catch_unwind(AssertUnwindSafe(|| play(&name, trouble, &mut record)));
    let result = outcome.unwrap_or_else(|_| Err("a panic".to_owned()));
    let code = match result {
        Ok(true) => {
            record.note("the rule held");
            0
        }
        Ok(false) => {
            record.note("THE RULE WAS BROKEN");
            1
        }
        Err(error) => {
            record.note(&format!("the case couldn't run: {error}"));
            2
        }
    };
    record.write();
    ExitCode::from(code)
}

fn play(name: &str, trouble: bool, record: &mut Record) -> Result<bool, String> {
    match name {
        "merge" => cases::merge::run(trouble, record),
        "refusal" => cases::refusal::run(trouble, record),
        "rest" => cases::rest::run(trouble, record),
        "restart" => cases::restart::run(trouble, record),
        "again" => cases::again::run(trouble, record),
        "attempts" => cases::attempts::run(trouble, record),
        "outage" => cases::outage::run(trouble, record),
        "spin" => cases::spin::run(trouble, record),
        _ => Err(format!("no case {name}")),
    }
}
