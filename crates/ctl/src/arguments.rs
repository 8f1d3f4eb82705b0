//! Parsing of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use crate::output::Failure;
use crate::output::Format;

/// The arguments that have not been taken yet.
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

    pub(crate) fn wants_help(&mut self) -> bool {
        self.inner.contains(["-h", "--help"])
    }

    pub(crate) fn wants_version(&mut self) -> bool {
        self.inner.contains("--version")
    }

    /// Takes an option without a value; false if it is not there.
    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// Takes the first argument if it is not an option.
    pub(crate) fn command(&mut self) -> Result<Option<String>, Failure> {
        self.inner.subcommand().map_err(|error| Failure::usage(error.to_string()))
    }

    /// Takes the value of an option; `None` if it is not there.
    pub(crate) fn option<T>(&mut self, name: &'static str) -> Result<Option<T>, Failure>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        self.inner.opt_value_from_str(name).map_err(|error| Failure::usage(error.to_string()))
    }

    /// Takes the value of a required option.
    pub(crate) fn required<T>(&mut self, name: &'static str) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        self.option(name)?.ok_or_else(|| Failure::usage(format!("expected the option {name}")))
    }

    /// Takes a required positional argument; `what` describes it in the error.
    pub(crate) fn positional(&mut self, what: &str) -> Result<String, Failure> {
        self.inner
            .opt_free_from_str()
            .map_err(|error| Failure::usage(error.to_string()))?
            .ok_or_else(|| Failure::usage(format!("expected {what}")))
    }

    /// Takes a required positional argument that is a path.
    pub(crate) fn path(&mut self, what: &str) -> Result<PathBuf, Failure> {
        self.positional(what).map(PathBuf::from)
    }

    /// Takes the required option `--at`, the address of a daemon.
    pub(crate) fn daemon_address(&mut self) -> Result<SocketAddr, Failure> {
        self.required("--at")
    }

    /// Fails if any argument has not been taken.
    pub(crate) fn finish(&mut self) -> Result<(), Failure> {
        let inner = std::mem::replace(&mut self.inner, pico_args::Arguments::from_vec(Vec::new()));
        match inner.finish().first() {
            None => Ok(()),
            Some(word) => {
                Err(Failure::usage(format!("did not expect `{}`", word.to_string_lossy())))
            }
        }
    }
}
