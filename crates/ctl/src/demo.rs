//! `tillerctl demo`: runs a whole tier on loopback, with faults, and checks the invariants.

mod report;
mod sample;
mod script;

use crate::demo::sample::SAMPLES;
use crate::demo::sample::Sample;
use crate::output::Failure;
use crate::output::Format;

pub(crate) use sample::find;
pub(crate) use script::run;

/// The options of the demo.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemoSettings {
    pub(crate) sample: &'static Sample,
    pub(crate) daemons: usize,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) format: Format,
}

impl Default for DemoSettings {
    fn default() -> Self {
        DemoSettings { sample: &SAMPLES[0], daemons: 5, seconds: 12, seed: 1, format: Format::Text }
    }
}

impl DemoSettings {
    /// Checks the bounds of the options.
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
