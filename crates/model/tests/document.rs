//! All faults of a document are reported, each with its line, column and field.

use insta::assert_snapshot;

use tt_model::Environment;

const VALID: &str = r#"{
  // A comment.
  "environment": "demo",
  "domains": ["a", "b"],
  "classes": [{ "name": "desk", "prefer": "coverage", "deadline_ms": 370 }],
  "services": [
    { "name": "s1", "class": "desk", "contract": { "rate": 5, "burst": 5, "concurrency": 2 }, "shards": ["*"] }
  ],
  "searchers": [
    { "name": "x", "address": "127.0.0.1:9000", "domain": "a", "slots": 2, "connections": 25 }
  ],
  "shards": [{ "name": "n1", "replicas": ["x"] }]
}"#;

fn check(text: &str) -> String {
    match Environment::parse(text) {
        Ok(environment) => format!("valid: {}", environment.name),
        Err(faults) => faults.to_string(),
    }
}

fn check_change(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the change applies to the document");
    check(&VALID.replace(from, to))
}

// Guards against a checker that refuses a document without faults, for example for its comments.
#[test]
fn a_valid_document_is_accepted() {
    assert_snapshot!(check(VALID), @"valid: demo");
}

// Guards against a checker that stops at the first fault, and against a document that is
// accepted although it refers to a class, domain or searcher that does not exist.
#[test]
fn every_fault_is_reported_with_its_position() {
    let text = VALID
        .replace(r#""class": "desk""#, r#""class": "desc""#)
        .replace(r#""domain": "a""#, r#""domain": "c""#)
        .replace(r#""rate": 5"#, r#""rate": 0"#)
        .replace(r#"["x"]"#, r#"["x", "y"]"#);
    assert_snapshot!(check(&text), @r#"
    501 InvalidDocument: 4 fault(s)
      7:30: services[0].class: there is no class `desc`
      7:60: services[0].contract.rate: expected more than 0, found 0
      10:59: searchers[0].domain: there is no domain `c`
      12:48: shards[0].replicas[1]: there is no searcher `y`
    "#);
}

// Guards against a misspelt field that is ignored without a message, so that the value which the
// operator wrote has no effect.
#[test]
fn unknown_fields_are_faults() {
    assert_snapshot!(check_change(r#""slots": 2"#, r#""slot": 2"#), @r#"
    501 InvalidDocument: 1 fault(s)
      10:69: unknown field `slot`, expected one of `name`, `address`, `domain`, `slots`, `connections`, `connect_ms`, `state` at line 10 column 69
    "#);
}

// Guards against limits with which the owner and the successor, which have half of the
// connections each, cannot both open a connection for each slot.
#[test]
fn each_half_of_the_connections_must_cover_the_slots() {
    assert_snapshot!(check_change(r#""connections": 25"#, r#""connections": 3"#), @r#"
    501 InvalidDocument: 1 fault(s)
      10:91: searchers[0].connections: expected at least twice the slots (2), found 3
    "#);
}

// Guards against two objects with the same name: a reference to it would be ambiguous.
#[test]
fn repeated_names_are_faults() {
    assert_snapshot!(check_change(r#"["a", "b"]"#, r#"["a", "a"]"#), @r#"
    501 InvalidDocument: 1 fault(s)
      4:20: domains[1]: the name `a` is used twice
    "#);
}

// Guards against data that is missed or counted twice when shards are split or merged, because
// no shard, or parent and child together, hold it in a snapshot.
#[test]
fn a_child_shard_starts_where_its_parent_ends() {
    let shards = r#""shards": [
    { "name": "n1", "replicas": ["x"], "until": 11 },
    { "name": "n2", "replicas": ["x"], "from": 12, "parents": ["n1"] }
  ]"#;
    assert_snapshot!(check_change(r#""shards": [{ "name": "n1", "replicas": ["x"] }]"#, shards), @r#"
    501 InvalidDocument: 1 fault(s)
      14:48: shards[1].from: expected the `until` of its parent `n1`, found 12
    "#);
}

// Guards against a stack overflow in a parser that recurses for each level of a hostile document.
#[test]
fn deep_nesting_is_a_fault() {
    assert_snapshot!(check(&"[".repeat(200_000)), @r#"
    501 InvalidDocument: 1 fault(s)
      1:1: invalid type: sequence, expected a string at line 1 column 1
    "#);
}

// Guards against a class whose requests have no time to run, or whose sub-queries are never
// hedged, because a number of the document isn't checked against its range.
#[test]
fn numbers_out_of_range_are_faults() {
    assert_snapshot!(check_change(r#""deadline_ms": 370"#, r#""deadline_ms": 0, "hedge_quantile": 1.0"#), @r#"
    501 InvalidDocument: 2 fault(s)
      5:70: classes[0].deadline_ms: expected 1 to 60000, found 0
      5:91: classes[0].hedge_quantile: expected 0.5 or more and less than 1, found 1
    "#);
}
