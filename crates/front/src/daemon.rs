//! Starts and stops an entry.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::answer;
use crate::answer::Body;
use crate::caller_memory::Holder;
use crate::callers;
use crate::callers::OpenConnections;
use crate::callers::StopStage;
use crate::directory;
use crate::entry::Entry;
use crate::heartbeats;
use crate::metrics;
use crate::relay;
use crate::settings::FrontSettings;
use crate::status;
use crate::store;
use crate::views;
use tt_adapter::Boot;
use tt_adapter::HttpSettings;
use tt_adapter::Platform;

/// Interval between reads of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks whether all connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry: serves callers until SIGTERM, then stops gracefully. `path` names the settings
/// file from which `boot` was loaded; it is read again at intervals.
///
/// # Errors
///
/// An address that can't be bound, or a signal handler that can't be installed.
pub async fn run(path: &Path, boot: Boot, settings: FrontSettings) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let entry = Arc::new(Entry::new(boot.clone(), settings));
    log::info!(
        "daemon: state=started vm={} domain={} front={} version={}",
        boot.vm,
        boot.domain,
        boot.front,
        env!("CARGO_PKG_VERSION")
    );
    let heartbeats = Arc::new(heartbeats::bind(&entry).await?);
    let connections = Arc::new(OpenConnections::default());
    let (stop_sender, stop_receiver) = watch::channel(StopStage::Serving);
    start_interfaces(&entry, &boot)?;
    if let Some(port) = settings.metrics_port {
        start_metrics(&entry, SocketAddr::new(boot.front.ip(), port));
    }
    let front = callers::listen(boot.front)?;
    let accepting =
        tokio::spawn(callers::serve(entry.clone(), front, stop_receiver, connections.clone()));
    start_followers(&entry, &boot, &heartbeats);
    tokio::spawn(reload(entry.clone(), path.to_owned()));
    if terminate.recv().await.is_none() {
        log::error!("daemon: signals=closed");
    }
    let drain_start = Instant::now();
    log::info!("daemon: state=draining connections={}", connections.count());
    let grace = entry.boot().bounds.grace.saturating_sub(settings.stop_margin);
    entry.start_drain(drain_start + grace.saturating_sub(settings.answer_margin));
    heartbeats::send_round(&entry, &heartbeats).await;
    sleep_until(drain_start + settings.drain_period.min(grace)).await;
    // Fails only if all connections have ended.
    let _ = stop_sender.send(StopStage::ClosingConnections);
    if let Err(error) = accepting.await {
        log::error!("daemon: accepting=\"{error}\"");
    }
    while connections.count() > 0 && drain_start.elapsed() < grace {
        sleep(STOP_POLL_INTERVAL).await;
    }
    log::info!("daemon: state=stopped connections={}", connections.count());
    Ok(())
}

fn start_interfaces(entry: &Arc<Entry>, boot: &Boot) -> io::Result<()> {
    let ready_listener = callers::listen(boot.ready)?;
    let (state, account) = (entry.clone(), entry.accounts.auxiliary.clone());
    tokio::spawn(callers::serve_auxiliary(ready_listener, account, move |request, _| {
        directory::ready(state.clone(), request)
    }));
    let directory_listener = callers::listen(boot.directory)?;
    let (state, account) = (entry.clone(), entry.accounts.auxiliary.clone());
    tokio::spawn(callers::serve_auxiliary(directory_listener, account, move |request, _| {
        directory::resolve(state.clone(), request)
    }));
    let peer_listener = callers::listen(boot.peer)?;
    let (state, account) = (entry.clone(), entry.accounts.peers.clone());
    tokio::spawn(callers::serve_auxiliary(peer_listener, account, move |request, holder| {
        serve_peer(state.clone(), request, holder)
    }));
    Ok(())
}

/// Serves metrics. If the port can't be bound, the daemon runs without them.
fn start_metrics(entry: &Arc<Entry>, address: SocketAddr) {
    metrics::install();
    match callers::listen(address) {
        Ok(listener) => {
            let account = entry.accounts.auxiliary.clone();
            tokio::spawn(callers::serve_auxiliary(listener, account, |request, _| {
                metrics::serve(request)
            }));
            let entry = entry.clone();
            tokio::spawn(async move { metrics::update(&entry).await });
        }
        Err(error) => log::warn!("metrics: address={address} error=\"{error}\""),
    }
}

/// Answers a request on the peer address, of another daemon or an operator.
async fn serve_peer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    holder: Arc<Holder>,
) -> Response<Body> {
    match request.uri().path() {
        relay::PATH => relay::serve(entry, request, &holder).await,
        views::PATH => views::serve(entry, request.uri().query().unwrap_or("")),
        status::PATH => status::serve(&entry),
        _ => answer::error(StatusCode::NOT_FOUND, "no such page", None),
    }
}

fn start_followers(entry: &Arc<Entry>, boot: &Boot, heartbeats: &Arc<UdpSocket>) {
    let platform = Platform::new(boot.store, HttpSettings::default());
    tokio::spawn(store::follow_config(entry.clone(), platform.clone()));
    tokio::spawn(store::follow_searchers(entry.clone(), platform.clone()));
    tokio::spawn(store::follow_members(entry.clone(), platform));
    tokio::spawn(heartbeats::send_heartbeats(entry.clone(), heartbeats.clone()));
    tokio::spawn(heartbeats::receive_heartbeats(entry.clone(), heartbeats.clone()));
    tokio::spawn(views::follow_peers(entry.clone()));
}

/// Reads the settings file again on SIGHUP and at intervals.
async fn reload(entry: Arc<Entry>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("daemon: reload=\"{error}\"");
            return;
        }
    };
    let mut ticks = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("daemon: reload=requested"),
            _ = ticks.tick() => {}
        }
        match Boot::load(&path) {
            Ok(boot) if boot != entry.boot() => {
                log::info!("daemon: reload=changed bounds={:?}", boot.bounds);
                entry.set_boot(boot);
            }
            Ok(_) => {}
            Err(error) => log::warn!("daemon: reload=\"{error}\""),
        }
    }
}
