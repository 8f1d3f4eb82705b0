//! Stand-ins for the platform and the searchers, and daemons, on loopback in one process.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio::time::sleep;

use tt_daemon::Callers;
use tt_daemon::Daemon;
use tt_daemon::Listen;
use tt_daemon::Policy;
use tt_daemon::Settings;
use tt_model::Environment;
use tt_standin::LatencyProfile;
use tt_standin::Platform;
use tt_standin::Searcher;
use tt_standin::SearcherSettings;

/// A free port on loopback.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long a restart waits for the address of the killed daemon to become free.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The environment document. Its searcher addresses are replaced by those of the stand-ins.
    pub document: String,
    /// Number of daemons, spread over the failure domains of the document.
    pub daemons: usize,
    /// Distribution of the time that sub-queries take at the searchers.
    pub profile: LatencyProfile,
    /// Seed of the service times; each searcher gets its own from it.
    pub seed: u64,
    /// Worker threads of each daemon.
    pub threads: usize,
    /// The daemons' settings for callers.
    pub callers: Callers,
    /// The daemons' policy.
    pub policy: Policy,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            document: String::new(),
            daemons: 5,
            profile: LatencyProfile::default(),
            seed: 1,
            threads: 2,
            callers: Callers { keep_ms: 1_000, ..Callers::default() },
            policy: Policy::Adaptive,
        }
    }
}

/// A running platform with its searchers and daemons. Daemons are identified by their index,
/// which stays the same when others stop.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Stand-ins for the searchers, by name.
    pub searchers: BTreeMap<String, Searcher>,
    /// The document, with the addresses of the stand-ins.
    pub document: String,
    /// The parsed document.
    pub environment: Environment,
    daemons: Vec<Option<RunningDaemon>>,
    settings: FleetSettings,
}

#[derive(Debug)]
struct RunningDaemon {
    runtime: Runtime,
    daemon: Daemon,
    domain: String,
    listen: Listen,
}

impl Fleet {
    /// Starts the stand-ins and the daemons, which are spread over the domains in turn.
    pub async fn start(settings: FleetSettings) -> io::Result<Fleet> {
        let platform = Platform::start(LOOPBACK).await?;
        let original = Environment::parse(&settings.document).map_err(io::Error::other)?;
        let mut searchers = BTreeMap::new();
        let mut document = settings.document.clone();
        for (id, searcher) in original.searchers.iter() {
            let shards = original
                .shards
                .values()
                .filter(|shard| shard.replicas.contains(&id))
                .map(|shard| shard.name.clone())
                .collect();
            let standin = Searcher::start(SearcherSettings {
                address: LOOPBACK,
                shards,
                slots: searcher.slots,
                connections: searcher.connections,
                connect_delay: searcher.connect_time,
                profile: settings.profile.clone(),
                seed: settings.seed.wrapping_add(u64::from(id.0) << 32),
                ..SearcherSettings::default()
            })
            .await?;
            let from = format!("\"{}\"", searcher.address);
            document = document.replace(&from, &format!("\"{}\"", standin.address()));
            searchers.insert(searcher.name.clone(), standin);
        }
        let environment = Environment::parse(&document).map_err(io::Error::other)?;
        let mut fleet =
            Fleet { platform, searchers, document, environment, daemons: Vec::new(), settings };
        for index in 0..fleet.settings.daemons {
            let domains = fleet.environment.domains.len();
            let domain = fleet.environment.domains.values().nth(index % domains);
            let domain = domain.map(|domain| domain.name.clone()).unwrap_or_default();
            let listen = Listen { callers: LOOPBACK, operators: LOOPBACK, peers: LOOPBACK };
            let running = fleet.launch(domain, listen).await?;
            fleet.daemons.push(Some(running));
        }
        Ok(fleet)
    }

    /// The address for operators of a daemon; `None` if it does not run.
    pub fn operators(&self, index: usize) -> Option<SocketAddr> {
        self.running(index).map(|running| running.daemon.operators())
    }

    /// The address for callers of a daemon; `None` if it does not run.
    pub fn callers(&self, index: usize) -> Option<SocketAddr> {
        self.running(index).map(|running| running.daemon.callers())
    }

    /// The addresses for callers of all daemons that run.
    pub fn all_callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().flatten().map(|running| running.daemon.callers()).collect()
    }

    /// The failure domain of a daemon; `None` if it does not run.
    pub fn domain(&self, index: usize) -> Option<&str> {
        self.running(index).map(|running| running.domain.as_str())
    }

    /// The number of daemons that run.
    pub fn len(&self) -> usize {
        self.daemons.iter().flatten().count()
    }

    /// Whether no daemon runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Stops a daemon gracefully and waits until it has drained.
    pub async fn stop(&mut self, index: usize) {
        let Some(running) = self.daemons.get_mut(index).and_then(Option::take) else {
            return;
        };
        let RunningDaemon { runtime, daemon, .. } = running;
        // A panic is not reported here: it shows as a daemon that does not answer.
        let _ = runtime.spawn(daemon.stop()).await;
        runtime.shutdown_background();
    }

    /// Ends a daemon at once, like a crash. The list of daemons in the store shows it until its
    /// lease ends.
    pub fn kill(&mut self, index: usize) -> Option<Killed> {
        let running = self.daemons.get_mut(index).and_then(Option::take)?;
        let RunningDaemon { runtime, daemon, domain, listen } = running;
        let peers = daemon.peers();
        drop(daemon);
        runtime.shutdown_background();
        let listen = Listen { peers, ..listen };
        Some(Killed { index, domain, listen })
    }

    /// Starts a killed daemon again, without any state. Its address for peers stays the same; those
    /// for callers and operators change.
    pub async fn restart(&mut self, killed: Killed) -> io::Result<()> {
        let Killed { index, domain, listen } = killed;
        // The killed daemon's runtime ends in the background, so its listener may still be open.
        let deadline = Instant::now() + BIND_TIMEOUT;
        let running = loop {
            match self.launch(domain.clone(), listen).await {
                Ok(running) => break running,
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        };
        self.daemons[index] = Some(running);
        Ok(())
    }

    /// Polls `ready` until it returns true. Returns false if that takes longer than `timeout`.
    pub async fn wait_for<F>(timeout: Duration, mut ready: F) -> bool
    where
        F: AsyncFnMut() -> bool,
    {
        let deadline = Instant::now() + timeout;
        while !ready().await {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(50)).await;
        }
        true
    }

    fn running(&self, index: usize) -> Option<&RunningDaemon> {
        self.daemons.get(index).and_then(Option::as_ref)
    }

    async fn launch(&self, domain: String, listen: Listen) -> io::Result<RunningDaemon> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.settings.threads)
            .enable_all()
            .build()?;
        let settings = Settings {
            domain: domain.clone(),
            weight: 1,
            listen,
            platform: self.platform.address(),
            peers: self.daemons.iter().flatten().map(|other| other.daemon.peers()).collect(),
            callers: self.settings.callers,
            threads: self.settings.threads,
            policy: self.settings.policy,
            log: String::new(),
        };
        let started = match runtime.spawn(Daemon::start(settings)).await {
            Ok(started) => started.map_err(io::Error::other),
            Err(error) => Err(io::Error::other(error)),
        };
        match started {
            Ok(daemon) => Ok(RunningDaemon { runtime, daemon, domain, listen }),
            Err(error) => {
                // Tokio panics if a runtime is dropped inside another one.
                runtime.shutdown_background();
                Err(error)
            }
        }
    }
}

/// What is needed to restart a killed daemon.
#[derive(Debug)]
pub struct Killed {
    index: usize,
    domain: String,
    listen: Listen,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for running in self.daemons.drain(..).flatten() {
            let RunningDaemon { runtime, daemon, .. } = running;
            drop(daemon);
            runtime.shutdown_background();
        }
    }
}
