//! The daemon from its start to its end.

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
use crate::callers;
use crate::callers::Open;
use crate::callers::Stop;
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

/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(2);

/// Time between two looks at whether all connections have ended.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Serves callers until SIGTERM, then stops gracefully.
///
/// # Errors
///
/// An address that can't be listened at, or signals that can't be received.
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
    let open = Arc::new(Open::default());
    let (stop, stopping) = watch::channel(Stop::No);
    start_interfaces(&entry, &boot)?;
    if let Some(port) = settings.metrics_port {
        start_metrics(&entry, SocketAddr::new(boot.front.ip(), port));
    }
    let front = callers::listen(boot.front)?;
    let accepting = tokio::spawn(callers::serve(entry.clone(), front, stopping, open.clone()));
    start_following(&entry, &boot, &heartbeats);
    tokio::spawn(reload(entry.clone(), path.to_owned()));
    if terminate.recv().await.is_none() {
        log::error!("daemon: signals=closed");
    }
    let began = Instant::now();
    log::info!("daemon: state=draining connections={}", open.count());
    entry.start_drain();
    heartbeats::send_round(&entry, &heartbeats).await;
    let grace = entry.boot().bounds.grace.saturating_sub(settings.stop_margin);
    sleep_until(began + settings.drain_period.min(grace)).await;
    // Without a receiver all connections have ended.
    let _ = stop.send(Stop::Connections);
    accepting.abort();
    while open.count() > 0 && began.elapsed() < grace {
        sleep(STOP_POLL).await;
    }
    log::info!("daemon: state=stopped connections={}", open.count());
    Ok(())
}

fn start_interfaces(entry: &Arc<Entry>, boot: &Boot) -> io::Result<()> {
    let ready = callers::listen(boot.ready)?;
    let state = entry.clone();
    tokio::spawn(callers::serve_plain(ready, move |request| {
        directory::ready(state.clone(), request)
    }));
    let resolve = callers::listen(boot.directory)?;
    let state = entry.clone();
    tokio::spawn(callers::serve_plain(resolve, move |request| {
        directory::resolve(state.clone(), request)
    }));
    let view = callers::listen(boot.peer)?;
    let state = entry.clone();
    tokio::spawn(callers::serve_plain(view, move |request| serve_peer(state.clone(), request)));
    Ok(())
}

/// Serves metrics. The daemon does without if it can't.
fn start_metrics(entry: &Arc<Entry>, address: SocketAddr) {
    metrics::install();
    match callers::listen(address) {
        Ok(listener) => {
            tokio::spawn(callers::serve_plain(listener, metrics::serve));
            let entry = entry.clone();
            tokio::spawn(async move { metrics::update(&entry).await });
        }
        Err(error) => log::warn!("metrics: address={address} error=\"{error}\""),
    }
}

/// Answers another daemon or an operator.
async fn serve_peer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        relay::PATH => relay::serve(entry, request).await,
        views::PATH => views::serve(&entry, request.uri().query().unwrap_or("")),
        status::PATH => status::serve(&entry),
        _ => answer::refusal(StatusCode::NOT_FOUND, "no such page", None),
    }
}

fn start_following(entry: &Arc<Entry>, boot: &Boot, heartbeats: &Arc<UdpSocket>) {
    let platform = Platform::new(boot.store, HttpSettings::default());
    tokio::spawn(store::follow_config(entry.clone(), platform.clone()));
    tokio::spawn(store::follow_searchers(entry.clone(), platform.clone()));
    tokio::spawn(store::follow_members(entry.clone(), platform));
    tokio::spawn(heartbeats::send_heartbeats(entry.clone(), heartbeats.clone()));
    tokio::spawn(heartbeats::receive_heartbeats(entry.clone(), heartbeats.clone()));
    tokio::spawn(views::follow_peers(entry.clone()));
}

/// Reads the settings again on SIGHUP, and now and then.
async fn reload(entry: Arc<Entry>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("daemon: reload=\"{error}\"");
            return;
        }
    };
    let mut ticks = interval(RELOAD_EVERY);
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
