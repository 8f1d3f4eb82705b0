//! `tillerctl bench`.

use std::path::PathBuf;

use serde_json::json;

use crate::arguments::Arguments;
use crate::commands::block_on;
use crate::commands::read_file;
use crate::demo;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use crate::output::print_value;
use tt_bench::RunReport;
use tt_bench::markdown;
use tt_bench::measure_control;
use tt_bench::plot;
use tt_bench::run;
use tt_bench::scenario;
use tt_bench::scenario::Scenario;
use tt_daemon::Policy;
use tt_model::ResultCode;

const HELP: &str = "\
Usage: tillerctl bench list
       tillerctl bench run NAME|FILE [--policy adaptive|baseline|both] [--seed N]
                                     [--report FOLDER] [--json]

       tillerctl bench control [--site NAME] [--json]

`list` lists the built-in scenarios.

`run` runs a built-in scenario, or one from a FILE that ends in .jsonc, with real daemons and
stand-ins on loopback in one process. The load is open-loop: requests are sent at times that do
not depend on the answers. With `both` (the default) the scenario runs under both policies, one
after the other, with the same seed.

`control` measures how long an accepted change takes until it is in force on five daemons: with
the store up, with the store going down right after the acceptance, and with a daemon that is
restarted without state while the store is down.

  --report FOLDER  write the results to NAME.md and NAME.svg in this folder
";

/// Runs measurements.
pub(crate) fn bench(arguments: &mut Arguments) -> Result<(), Failure> {
    let action = arguments.command()?;
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    match action.as_deref() {
        Some("list") => list(arguments),
        Some("run") => run_scenario(arguments),
        Some("control") => control(arguments),
        Some(other) => Err(Failure::usage(format!("unknown action `{other}`"))),
        None => Err(Failure::usage("expected `list`, `run` or `control`".to_owned())),
    }
}

fn control(arguments: &mut Arguments) -> Result<(), Failure> {
    let name: Option<String> = arguments.option("--site")?;
    arguments.finish()?;
    let sample = match name {
        Some(name) => demo::find(&name).map_err(Failure::usage)?,
        None => demo::DemoSettings::default().sample,
    };
    let report = block_on(measure_control(sample.document))?.map_err(|error| internal(&error))?;
    print_value(arguments.format(), &json!(report));
    Ok(())
}

fn list(arguments: &mut Arguments) -> Result<(), Failure> {
    arguments.finish()?;
    let scenarios = scenario::list();
    match arguments.format() {
        Format::Json => {
            let list: Vec<_> = scenarios
                .iter()
                .map(|scenario| json!({ "name": scenario.name, "about": scenario.about }))
                .collect();
            print_line(format!("{}", json!(list)));
        }
        Format::Text => {
            for scenario in scenarios {
                let seconds = scenario.length().as_secs();
                print_line(format!("{:<16} {seconds:>3} s  {}", scenario.name, scenario.about));
            }
        }
    }
    Ok(())
}

fn run_scenario(arguments: &mut Arguments) -> Result<(), Failure> {
    let policy: String = arguments.option("--policy")?.unwrap_or_else(|| "both".to_owned());
    let policies: &[Policy] = match policy.as_str() {
        "adaptive" => &[Policy::Adaptive],
        "baseline" => &[Policy::Baseline],
        "both" => &[Policy::Adaptive, Policy::Baseline],
        other => return Err(Failure::usage(format!("unknown policy `{other}`"))),
    };
    let seed: u64 = arguments.option("--seed")?.unwrap_or(1);
    let folder: Option<PathBuf> = arguments.option("--report")?;
    let name = arguments.positional("the name of a scenario or the path of one")?;
    arguments.finish()?;
    let scenario = load_scenario(&name)?;
    let mut runs = Vec::new();
    for &policy in policies {
        let report = block_on(run(&scenario, policy, seed))?;
        runs.push(report.map_err(|error| internal(&error))?);
    }
    match arguments.format() {
        Format::Json => print_line(format!("{}", json!(runs))),
        Format::Text => print!("{}", markdown(&scenario, &runs)),
    }
    if let Some(folder) = folder {
        write_report(&folder, &scenario, &runs)?;
    }
    Ok(())
}

fn load_scenario(name: &str) -> Result<Scenario, Failure> {
    if let Some(scenario) = scenario::find(name) {
        return Ok(scenario);
    }
    if !name.ends_with(".jsonc") {
        return Err(Failure::usage(format!("unknown scenario `{name}`")));
    }
    let text = read_file(name.as_ref())?;
    scenario::parse(&text).map_err(|error| {
        Failure::new(
            ResultCode::SettingsInvalid,
            format!("{name}:{}:{}: {error}", error.line(), error.column()),
        )
    })
}

fn write_report(
    folder: &std::path::Path,
    scenario: &Scenario,
    runs: &[RunReport],
) -> Result<(), Failure> {
    std::fs::create_dir_all(folder).map_err(|error| internal(&error))?;
    let table = folder.join(format!("{}.md", scenario.name));
    std::fs::write(table, markdown(scenario, runs)).map_err(|error| internal(&error))?;
    let image = folder.join(format!("{}.svg", scenario.name));
    plot(&image, scenario, runs).map_err(|error| internal(error.as_ref()))
}

fn internal(error: &dyn std::error::Error) -> Failure {
    Failure::new(ResultCode::Internal, error.to_string())
}
