//! `tillerctl bench`.

use crate::arguments::Arguments;
use crate::output::Failure;

/// Runs measurement scenarios.
pub(crate) fn bench(arguments: &mut Arguments) -> Result<(), Failure> {
    let _ = arguments;
    Err(Failure::usage("there is no scenario yet".to_owned()))
}
