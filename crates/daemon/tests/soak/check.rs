//! Checks the invariants on the answers that callers got and the requests that searchers ran.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::support::Answer;
use crate::support::searcher::Searcher;

/// One request of a caller; `answer` is `None` if the connection ended without an answer.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: String,
    pub path: &'static str,
    pub answer: Option<Answer>,
}

/// A searcher with its pool and the body of its normal answer.
#[derive(Debug)]
pub struct ExpectedSearcher<'a> {
    pub searcher: &'a Searcher,
    pub pool: String,
    pub body: Vec<u8>,
}

/// Returns one line for each violation. `shards` is the number of shards of a query, `min_shards`
/// the minimum number of them in an answer, `top_k` the maximum number of records in it.
pub fn violations(
    requests: &[CallerRequest],
    searchers: &[ExpectedSearcher<'_>],
    shards: usize,
    min_shards: usize,
    top_k: usize,
) -> Vec<String> {
    let by_id: HashMap<&str, &ExpectedSearcher<'_>> =
        searchers.iter().map(|it| (it.searcher.id.as_str(), it)).collect();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for it in searchers {
        for id in it.searcher.run_ids() {
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut violations = Vec::new();
    for CallerRequest { id, path, answer } in requests {
        let ran = runs.get(id).copied().unwrap_or(0);
        if *path == "/once/" && ran > 1 {
            violations.push(format!("{id} may run once and ran {ran} times"));
        }
        let Some(answer) = answer else { continue };
        if answer.status == 503 && ran > 0 {
            violations.push(format!("{id} was refused and ran {ran} times"));
        }
        if answer.status == 503 && answer.header("retry-after").is_none() {
            violations.push(format!("{id} was refused without a retry-after header"));
        }
        if answer.status != 200 {
            continue;
        }
        let violation = match *path {
            "/all/" => check_gathered(id, answer, &by_id, shards, min_shards, top_k),
            _ => check_single(id, answer, &by_id),
        };
        violations.extend(violation.map(|violation| format!("{id} at {path}: {violation}")));
    }
    violations
}

fn check_single(
    id: &str,
    answer: &Answer,
    searchers: &HashMap<&str, &ExpectedSearcher<'_>>,
) -> Option<String> {
    let signature = answer.header("x-server-stamp").unwrap_or_default();
    let Some(searcher) = signature.strip_suffix(&format!(".{id}")).and_then(|it| searchers.get(it))
    else {
        return Some(format!("signature {signature:?}"));
    };
    if answer.header("x-request-id") != Some(id) {
        return Some("answer has the id of another request".to_owned());
    }
    (answer.body != searcher.body).then(|| "body differs from the searcher's".to_owned())
}

fn check_gathered(
    id: &str,
    answer: &Answer,
    searchers: &HashMap<&str, &ExpectedSearcher<'_>>,
    shards: usize,
    min_shards: usize,
    top_k: usize,
) -> Option<String> {
    let signatures = answer.header("x-part-stamps").unwrap_or_default();
    let mut pools = HashSet::new();
    let mut expected_records: Vec<&[u8]> = Vec::new();
    let mut parts = 0;
    for signature in signatures.split(", ") {
        let searcher = signature.strip_suffix(&format!(".{id}")).and_then(|it| searchers.get(it));
        let Some(searcher) = searcher else { return Some(format!("signature {signature:?}")) };
        if !pools.insert(&searcher.pool) {
            return Some(format!("two parts of {}", searcher.pool));
        }
        expected_records.extend(searcher.body.chunks_exact(16));
        parts += 1;
    }
    let missing: usize = answer.header("x-missing-parts")?.parse().ok()?;
    if parts + missing != shards || parts < min_shards {
        return Some(format!("{parts} parts, {missing} missing"));
    }
    expected_records.sort_unstable();
    expected_records.reverse();
    expected_records.truncate(top_k);
    (answer.body != expected_records.concat())
        .then(|| "records are not the greatest ones of its parts".to_owned())
}
