//! The sample documents are valid and have the sizes of the sites that they describe.

use insta::assert_snapshot;

use tt_model::Environment;

fn summarize(path: &str) -> String {
    let path = format!("{}/../../samples/{path}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample is in the repository");
    match Environment::parse(&text) {
        Ok(environment) => format!(
            "{}: {} domains, {} services, {} searchers, {} shards, {} slots",
            environment.name,
            environment.domains.len(),
            environment.services.len(),
            environment.searchers.len(),
            environment.shards.len(),
            environment.searchers.values().map(|searcher| searcher.slots).sum::<u32>(),
        ),
        Err(faults) => faults.to_string(),
    }
}

// Guards against a sample that the checker refuses: operators copy samples as a start.
#[test]
fn kingston_is_valid() {
    assert_snapshot!(summarize("kingston.jsonc"), @"kingston: 4 domains, 52 services, 108 searchers, 52 shards, 232 slots");
}

// Guards against a sample that the checker refuses: operators copy samples as a start.
#[test]
fn texas_is_valid() {
    assert_snapshot!(summarize("texas.jsonc"), @"texas: 3 domains, 52 services, 110 searchers, 52 shards, 230 slots");
}
