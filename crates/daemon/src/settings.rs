//! The settings file of a daemon: JSON with comments.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use tt_model::ResultCode;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The failure domain that this VM is in.
    pub domain: String,
    /// Capacity of this VM relative to the other VMs; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Addresses of other daemons to contact first, so that the daemon can start without the
    /// platform's store.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Limits and times for callers.
    #[serde(default)]
    pub callers: Callers,
    /// Number of worker threads for queries, and of threads for callers' connections; 1 to 256.
    #[serde(default = "four")]
    pub threads: usize,
    /// How queries are scheduled. All daemons of a tier must have the same policy.
    #[serde(default)]
    pub policy: Policy,
    /// Log filter, like `info` or `info,tt_daemon::owner=debug`.
    #[serde(default = "info")]
    pub log: String,
}

/// How queries are scheduled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Each searcher has an owner with a fair queue; queries are hedged, and replicas are chosen
    /// by their latency.
    #[default]
    Adaptive,
    /// Only for comparison in benchmarks: every daemon has a static share of each searcher, uses
    /// replicas in turn with a fixed timeout, retries once, doesn't hedge and queues first in,
    /// first out. The limits of searchers may be exceeded under this policy.
    Baseline,
}

/// Listening addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where callers send requests. The IP address must not be `0.0.0.0` or `::`.
    pub callers: SocketAddr,
    /// Where operators read the state of the daemon and submit changes.
    pub operators: SocketAddr,
    /// For other daemons, which also identify this daemon by this address.
    pub peers: SocketAddr,
}

/// Limits and times for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Memory for all request bodies that are held at a time at one interface, in bytes.
    pub memory_bytes: usize,
    /// How long callers may keep a list of entry addresses, in milliseconds.
    pub keep_ms: u64,
    /// How long a stop waits at most for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Callers {
            body_bytes: 1024 * 1024,
            memory_bytes: 64 * 1024 * 1024,
            keep_ms: 5_000,
            drain_ms: 70_000,
        }
    }
}

impl Callers {
    /// How long callers may keep a list of entry addresses.
    pub fn entries_ttl(&self) -> Duration {
        Duration::from_millis(self.keep_ms)
    }
}

/// A settings file that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// `SettingsUnreadable` or `SettingsInvalid`.
    pub code: ResultCode,
    /// The settings file.
    pub path: PathBuf,
    /// Line, from 1; 0 if the error has no position.
    pub line: usize,
    /// Column, from 1; 0 if the error has no position.
    pub column: usize,
    /// The invalid field and what was expected, or why the file cannot be read.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path.display())?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        write!(f, ": {} (result code {})", self.message, self.code)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
            code: ResultCode::SettingsUnreadable,
            path: path.to_owned(),
            line: 0,
            column: 0,
            message: error.to_string(),
        })?;
        Settings::parse(path, &text)
    }

    /// Parses and checks the text of a settings file; `path` is for errors.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
        let invalid = |line, column, message| SettingsError {
            code: ResultCode::SettingsInvalid,
            path: path.to_owned(),
            line,
            column,
            message,
        };
        let settings: Settings = serde_jsonc::from_str(text)
            .map_err(|error| invalid(error.line(), error.column(), error.to_string()))?;
        settings.check().map_err(|message| invalid(0, 0, message))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let listen = &self.listen;
        if self.domain.is_empty() {
            return Err("domain: expected the name of a failure domain".to_owned());
        }
        if self.weight == 0 {
            return Err("weight: expected at least 1, found 0".to_owned());
        }
        if !(1..=256).contains(&self.threads) {
            return Err(format!("threads: expected 1 to 256, found {}", self.threads));
        }
        if self.callers.body_bytes == 0 {
            return Err("callers.body_bytes: expected at least 1, found 0".to_owned());
        }
        if self.callers.memory_bytes == 0 {
            return Err("callers.memory_bytes: expected at least 1, found 0".to_owned());
        }
        if self.callers.keep_ms == 0 {
            return Err("callers.keep_ms: expected at least 1, found 0".to_owned());
        }
        if listen.peers.ip().is_unspecified() || listen.callers.ip().is_unspecified() {
            return Err(
                "listen: expected the address that others use, found 0.0.0.0 or ::".to_owned()
            );
        }
        let ports = [listen.callers, listen.operators, listen.peers];
        let distinct = ports[0] != ports[1] && ports[1] != ports[2] && ports[0] != ports[2];
        if !distinct && ports.iter().all(|address| address.port() != 0) {
            return Err("listen: expected three different addresses".to_owned());
        }
        Ok(())
    }
}

fn one() -> u32 {
    1
}

fn four() -> usize {
    4
}

fn info() -> String {
    "info".to_owned()
}
