//! `tillerctl demo`: a whole tier on loopback, with faults, checked against the invariants.

mod report;
mod script;

use std::str::FromStr;

use crate::output::Failure;
use crate::output::Format;

pub(crate) use script::run;

/// A site of the sample documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Site {
    Kingston,
    Texas,
}

/// How the demo runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemoSettings {
    pub(crate) site: Site,
    pub(crate) daemons: usize,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) format: Format,
}

impl Default for DemoSettings {
    fn default() -> Self {
        DemoSettings {
            site: Site::Kingston,
            daemons: 5,
            seconds: 12,
            seed: 1,
            format: Format::Text,
        }
    }
}

impl DemoSettings {
    pub(crate) fn check(&self) -> Result<(), Failure> {
        if !(2..=8).contains(&self.daemons) {
            return Err(Failure::usage(format!(
                "--daemons: expected 2 to 8, found {}",
                self.daemons
            )));
        }
        if !(6..=30).contains(&self.seconds) {
            return Err(Failure::usage(format!(
                "--seconds: expected 6 to 30, found {}",
                self.seconds
            )));
        }
        Ok(())
    }
}

impl Site {
    /// The sample document.
    pub(crate) fn document(self) -> &'static str {
        match self {
            Site::Kingston => include_str!("../../../samples/kingston.jsonc"),
            Site::Texas => include_str!("../../../samples/texas.jsonc"),
        }
    }

    /// The service that sends requests which must run at most once.
    pub(crate) fn once_service(self) -> &'static str {
        match self {
            Site::Kingston => "cashier-office",
            Site::Texas => "invoice-bridge-01",
        }
    }
}

impl FromStr for Site {
    type Err = String;

    fn from_str(text: &str) -> Result<Site, String> {
        match text {
            "kingston" => Ok(Site::Kingston),
            "texas" => Ok(Site::Texas),
            other => Err(format!("expected `kingston` or `texas`, found `{other}`")),
        }
    }
}
