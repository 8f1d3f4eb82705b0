//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use crate::output::Failure;
use crate::output::Format;

/// What is left of the command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    inner: pico_args::Arguments,
    format: Format,
}

impl Arguments {
    pub(crate) fn new(arguments: Vec<OsString>) -> Arguments {
        let mut inner = pico_args::Arguments::from_vec(arguments);
        let format = if inner.contains("--json") { Format::Json } else { Format::Text };
        Arguments { inner, format }
    }

    pub(crate) fn format(&self) -> Format {
        self.format
    }

    pub(crate) fn help(&mut self) -> bool {
        self.inner.contains(["-h", "--help"])
    }

    pub(crate) fn version(&mut self) -> bool {
        self.inner.contains("--version")
    }

    /// Whether an option without a value is there.
    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// The next word that is not an option.
    pub(crate) fn command(&mut self) -> Result<Option<String>, Failure> {
        self.inner.subcommand().map_err(|error| Failure::usage(error.to_string()))
    }

    /// The value of an option, or `None` without it.
    pub(crate) fn option<T>(&mut self, name: &'static str) -> Result<Option<T>, Failure>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        self.inner.opt_value_from_str(name).map_err(|error| Failure::usage(error.to_string()))
    }

    /// The value of an option that must be there.
    pub(crate) fn required<T>(&mut self, name: &'static str) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        self.option(name)?.ok_or_else(|| Failure::usage(format!("expected the option {name}")))
    }

    /// A word that must be there.
    pub(crate) fn word(&mut self, what: &str) -> Result<String, Failure> {
        self.inner
            .opt_free_from_str()
            .map_err(|error| Failure::usage(error.to_string()))?
            .ok_or_else(|| Failure::usage(format!("expected {what}")))
    }

    /// A path that must be there.
    pub(crate) fn path(&mut self, what: &str) -> Result<PathBuf, Failure> {
        self.word(what).map(PathBuf::from)
    }

    /// The address of a daemon.
    pub(crate) fn address(&mut self) -> Result<SocketAddr, Failure> {
        self.required("--at")
    }

    /// Fails if something is left.
    pub(crate) fn end(&mut self) -> Result<(), Failure> {
        let inner = std::mem::replace(&mut self.inner, pico_args::Arguments::from_vec(Vec::new()));
        match inner.finish().first() {
            None => Ok(()),
            Some(word) => {
                Err(Failure::usage(format!("did not expect `{}`", word.to_string_lossy())))
            }
        }
    }
}
