//! The `trefoiltiller` daemon.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use tt_adapter::Boot;
use tt_adapter::PlatformError;
use tt_adapter::SETTINGS_VARIABLE;
use tt_daemon::Daemon;
use tt_daemon::Settings;
use tt_front::FrontSettings;

const HELP: &str = "\
trefoiltiller: the daemon of the query tier

Usage: trefoiltiller --settings FILE [--check]
       trefoiltiller entry [--metrics-port PORT] [--check]

The second form runs an entry on the users' platform. The variable TREFOILTILLER_CONFIG names
the settings that the platform writes for it.

Options:
  --settings FILE  the settings, JSON with comments
  --check          check the settings and exit
  --metrics-port   port at which an entry serves /metrics; without it none are kept
  -h, --help       print this text
  --version        print the version

SIGTERM and SIGINT stop it gracefully: its address is no longer given to callers, it hands over
its searchers and finishes the requests in flight.

Exit codes: 0 done, 1 cannot run, 2 wrong command line or settings.
";

/// What the command line asks for.
#[derive(Debug)]
enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
    CheckEntry,
    RunEntry { metrics_port: Option<u16> },
}

fn main() -> ExitCode {
    let command = match parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("trefoiltiller: {error}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("trefoiltiller {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(path) => match Settings::load(&path) {
            Ok(_) => {
                println!("{}: valid", path.display());
                ExitCode::SUCCESS
            }
            Err(error) => report(&error),
        },
        Command::Run(path) => match Settings::load(&path) {
            Ok(settings) => run(settings),
            Err(error) => report(&error),
        },
        Command::CheckEntry => match load_boot() {
            Ok((path, _)) => {
                println!("{}: valid", path.display());
                ExitCode::SUCCESS
            }
            Err(error) => report(&error),
        },
        Command::RunEntry { metrics_port } => match load_boot() {
            Ok((path, boot)) => run_entry(&path, boot, metrics_port),
            Err(error) => report(&error),
        },
    }
}

fn parse(mut arguments: pico_args::Arguments) -> Result<Command, pico_args::Error> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains("--version") {
        return Ok(Command::Version);
    }
    let check = arguments.contains("--check");
    let entry = match arguments.subcommand()?.as_deref() {
        None => false,
        Some("entry") => true,
        Some(other) => {
            return Err(pico_args::Error::ArgumentParsingFailed {
                cause: format!("unknown command `{other}`"),
            });
        }
    };
    if entry {
        let metrics_port = arguments.opt_value_from_str("--metrics-port")?;
        reject_remaining(arguments)?;
        return Ok(if check { Command::CheckEntry } else { Command::RunEntry { metrics_port } });
    }
    let path: PathBuf = arguments.value_from_str("--settings")?;
    reject_remaining(arguments)?;
    Ok(if check { Command::Check(path) } else { Command::Run(path) })
}

fn reject_remaining(arguments: pico_args::Arguments) -> Result<(), pico_args::Error> {
    let rest = arguments.finish();
    if let Some(word) = rest.first() {
        return Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("did not expect `{}`", word.to_string_lossy()),
        });
    }
    Ok(())
}

/// Reads the settings that the platform writes for an entry.
fn load_boot() -> Result<(PathBuf, Boot), PlatformError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or_else(|| {
        PlatformError::Malformed { detail: format!("{SETTINGS_VARIABLE} is not set") }
    })?;
    let boot = Boot::load(&path)?;
    Ok((path, boot))
}

/// Runs an entry on one thread, because its VM has only a part of a core.
fn run_entry(path: &Path, boot: Boot, metrics_port: Option<u16>) -> ExitCode {
    tt_front::start_logs();
    let settings = FrontSettings { metrics_port, ..FrontSettings::default() };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report(&error),
    };
    let ended = runtime.block_on(tt_front::run(path, boot, settings));
    tt_front::flush_logs();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trefoiltiller: {error}");
            ExitCode::FAILURE
        }
    }
}

fn report(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("trefoiltiller: {error}");
    ExitCode::from(2)
}

fn run(settings: Settings) -> ExitCode {
    let environment = env_logger::Env::default().default_filter_or(settings.log.clone());
    env_logger::Builder::from_env(environment)
        .format(|out, record| {
            let time = out.timestamp_millis();
            writeln!(out, "{time} {} {}", record.level(), record.args())
        })
        .init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report(&error),
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("daemon: {error}.");
            return ExitCode::FAILURE;
        }
    };
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("daemon: The handlers of SIGTERM and SIGINT cannot be installed.");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.drain_requested() => {}
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}
