//! `tillerctl standin`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::time::sleep;

use crate::arguments::Arguments;
use crate::commands::block_on;
use crate::commands::read_file;
use crate::output::Failure;
use crate::output::print_line;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_standin::Fault;
use tt_standin::LatencyProfile;
use tt_standin::Platform;
use tt_standin::Searcher;
use tt_standin::SearcherSettings;
use tt_standin::State;

const HELP: &str = "\
Usage: tillerctl standin DOCUMENT --platform ADDRESS [--seconds N]

Serves stand-ins on loopback for daemons that run as separate processes: the platform at
ADDRESS, and every searcher of the document at the address in the document. Ends after N
seconds (default 600) or at the end of standard input, from which it reads one command per
line:

  store up | down | refusing | slow MS | lose N | lapse | compact
  searcher NAME ready | draining | shedding | dead | slow FACTOR
  publish SNAPSHOT             at every searcher
  retire SNAPSHOT              at every searcher
  counts                       print the counters of the stand-ins
";

/// Serves stand-ins for the platform and the searchers of a document.
pub(crate) fn standin(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let platform: SocketAddr = arguments.required("--platform")?;
    let seconds: u64 = arguments.option("--seconds")?.unwrap_or(600);
    let path = arguments.path("the path of a document")?;
    arguments.finish()?;
    let text = read_file(&path)?;
    let environment = Environment::parse(&text)
        .map_err(|faults| Failure::new(faults.code, format!("{}: {faults}", path.display())))?;
    let addresses = environment.searchers.values().map(|searcher| searcher.address);
    if let Some(address) = addresses.chain([platform]).find(|address| !address.ip().is_loopback()) {
        return Err(Failure::usage(format!("expected loopback addresses, found {address}")));
    }
    block_on(serve(environment, platform, Duration::from_secs(seconds)))?
}

async fn serve(
    environment: Environment,
    platform: SocketAddr,
    timeout: Duration,
) -> Result<(), Failure> {
    let platform =
        Platform::start(platform).await.map_err(|error| bind_failure(platform, &error))?;
    let mut searchers = BTreeMap::new();
    for (id, searcher) in environment.searchers.iter() {
        let shards = environment.shards.values().filter(|shard| shard.replicas.contains(&id));
        let settings = SearcherSettings {
            address: searcher.address,
            shards: shards.map(|shard| shard.name.clone()).collect(),
            slots: searcher.slots,
            connections: searcher.connections,
            connect_delay: searcher.connect_time,
            seed: u64::from(id.0),
            ..SearcherSettings::default()
        };
        let standin = Searcher::start(settings)
            .await
            .map_err(|error| bind_failure(searcher.address, &error))?;
        searchers.insert(searcher.name.clone(), standin);
    }
    print_line(format!("platform at {}, {} searchers", platform.address(), searchers.len()));
    let commands = run_commands(&platform, &searchers);
    tokio::select! {
        () = commands => {}
        () = sleep(timeout) => {}
    }
    Ok(())
}

async fn run_commands(platform: &Platform, searchers: &BTreeMap<String, Searcher>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Err(message) = run_command(&line, platform, searchers) {
            eprintln!("{message}: `{line}`");
        }
    }
}

fn run_command(
    line: &str,
    platform: &Platform,
    searchers: &BTreeMap<String, Searcher>,
) -> Result<(), &'static str> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        [] => {}
        ["store", "up"] => platform.set_fault(Fault::None),
        ["store", "down"] => platform.set_fault(Fault::Down),
        ["store", "refusing"] => platform.set_fault(Fault::Refusing),
        ["store", "slow", ms] => {
            platform.set_fault(Fault::Slow(Duration::from_millis(number(ms)?)));
        }
        ["store", "lose", count] => platform.lose_replies(number(count)? as u32),
        ["store", "lapse"] => platform.lapse_leases(),
        ["store", "compact"] => platform.compact(),
        ["searcher", name, state @ ..] => {
            let searcher = searchers.get(*name).ok_or("unknown searcher")?;
            change_searcher(searcher, state)?;
        }
        ["publish", snapshot] => {
            let snapshot = number(snapshot)?;
            searchers.values().for_each(|searcher| searcher.publish(snapshot));
        }
        ["retire", snapshot] => {
            let snapshot = number(snapshot)?;
            searchers.values().for_each(|searcher| searcher.retire(snapshot));
        }
        ["counts"] => {
            print_line(format!("store: {:?}", platform.counts()));
            for (name, searcher) in searchers {
                print_line(format!("{name}: {:?}", searcher.counts()));
            }
        }
        _ => return Err("unknown command"),
    }
    Ok(())
}

fn change_searcher(searcher: &Searcher, state: &[&str]) -> Result<(), &'static str> {
    match state {
        ["ready"] => searcher.set_state(State::Ready),
        ["draining"] => searcher.set_state(State::Draining),
        ["shedding"] => searcher.set_state(State::Shedding),
        ["dead"] => searcher.set_state(State::Dead),
        ["slow", factor] => {
            let slow_factor = factor.parse().map_err(|_| "expected a number")?;
            searcher.set_profile(LatencyProfile { slow_factor, ..LatencyProfile::default() });
        }
        _ => return Err("unknown state of a searcher"),
    }
    Ok(())
}

fn number(text: &str) -> Result<u64, &'static str> {
    text.parse().map_err(|_| "expected a number")
}

fn bind_failure(address: SocketAddr, error: &std::io::Error) -> Failure {
    Failure::new(ResultCode::AddressInUse, format!("{address}: {error}"))
}
