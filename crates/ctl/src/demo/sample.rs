//! The sample documents that the demo can run with.

/// A sample document.
#[derive(Debug)]
pub(crate) struct Sample {
    /// The value of `--site` that selects it.
    pub(crate) name: &'static str,
    /// The text of the document.
    pub(crate) document: &'static str,
    /// The service that sends requests that must run at most once, to the shard of the same name.
    pub(crate) at_most_once: &'static str,
}

/// All samples; the first one is the default.
pub(crate) const SAMPLES: &[Sample] = &[
    Sample {
        name: "kingston",
        document: include_str!("../../../../samples/kingston.jsonc"),
        at_most_once: "cashier-office",
    },
    Sample {
        name: "texas",
        document: include_str!("../../../../samples/texas.jsonc"),
        at_most_once: "invoice-bridge-01",
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
