//! The documents that the demo can run.

/// A sample document.
#[derive(Debug)]
pub(crate) struct Sample {
    /// The name on the command line.
    pub(crate) name: &'static str,
    /// The document.
    pub(crate) document: &'static str,
    /// The service that sends requests which must run at most once, to the shard of its name.
    pub(crate) once: &'static str,
}

/// All samples; the first one is the default.
pub(crate) const SAMPLES: &[Sample] = &[
    Sample {
        name: "kingston",
        document: include_str!("../../../../samples/kingston.jsonc"),
        once: "cashier-office",
    },
    Sample {
        name: "texas",
        document: include_str!("../../../../samples/texas.jsonc"),
        once: "invoice-bridge-01",
    },
];

/// The sample with this name.
pub(crate) fn find(name: &str) -> Result<&'static Sample, String> {
    let known = || SAMPLES.iter().map(|sample| sample.name).collect::<Vec<_>>().join(" or ");
    SAMPLES
        .iter()
        .find(|sample| sample.name == name)
        .ok_or_else(|| format!("--site: expected {}, found `{name}`", known()))
}
