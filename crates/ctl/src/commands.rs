//! One function for each command.

mod bench;
mod check;
mod env;
mod query;
mod standin;
mod status;

use std::future::Future;

use crate::arguments::Arguments;
use crate::demo;
use crate::output::Failure;
use tt_model::ResultCode;

pub(crate) use bench::bench;
pub(crate) use check::check;
pub(crate) use env::env;
pub(crate) use query::entries;
pub(crate) use query::query;
pub(crate) use standin::standin;
pub(crate) use status::status;

const DEMO_HELP: &str = "\
Usage: tillerctl demo [--site kingston|texas] [--daemons N] [--seconds N] [--seed N] [--json]

Runs a whole tier on loopback in one process: stand-ins for the platform and the
searchers, and daemons in the failure domains of the site. Brings the site's document into
trial and production and sends queries from several services, while a searcher leaves and a
daemon stops gracefully. Prints progress and a table, and fails if an invariant did not hold.

  --site     kingston (default) or texas
  --daemons  number of daemons, 2 to 8 (default 5)
  --seconds  length of the load, 6 to 30 (default 12)
  --seed     seed of the load (default 1)
";

/// Runs the demo.
pub(crate) fn demo(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{DEMO_HELP}");
        return Ok(());
    }
    let defaults = demo::DemoSettings::default();
    let sample = match arguments.option::<String>("--site")? {
        Some(name) => demo::find(&name).map_err(Failure::usage)?,
        None => defaults.sample,
    };
    let settings = demo::DemoSettings {
        sample,
        daemons: arguments.option("--daemons")?.unwrap_or(defaults.daemons),
        seconds: arguments.option("--seconds")?.unwrap_or(defaults.seconds),
        seed: arguments.option("--seed")?.unwrap_or(defaults.seed),
        format: arguments.format(),
    };
    arguments.finish()?;
    settings.check()?;
    block_on(demo::run(settings))?
}

/// Runs a future to completion on a new multi-threaded runtime.
pub(crate) fn block_on<F>(future: F) -> Result<F::Output, Failure>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::new(ResultCode::Internal, error.to_string()))?;
    Ok(runtime.block_on(future))
}

/// Reads a file named on the command line.
pub(crate) fn read_file(path: &std::path::Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        Failure::new(ResultCode::SettingsUnreadable, format!("{}: {error}", path.display()))
    })
}
