//! The promises, checked from what callers and searchers have seen.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::support::Answer;
use crate::support::searcher::Searcher;

/// What the caller of one request has seen; `None` if the connection ended without an answer.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub path: &'static str,
    pub answer: Option<Answer>,
}

/// A searcher with its pool and the body that it answers with.
#[derive(Debug)]
pub struct Known<'a> {
    pub searcher: &'a Searcher,
    pub pool: String,
    pub body: Vec<u8>,
}

/// Returns one line for each broken promise. `shards` is the number of shards of a query, `need`
/// the fewest in an answer, `top` its records.
pub fn broken(
    seen: &[Seen],
    known: &[Known<'_>],
    shards: usize,
    need: usize,
    top: usize,
) -> Vec<String> {
    let by_id: HashMap<&str, &Known<'_>> =
        known.iter().map(|it| (it.searcher.id.as_str(), it)).collect();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for it in known {
        for id in it.searcher.run_ids() {
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut broken = Vec::new();
    for Seen { id, path, answer } in seen {
        let ran = runs.get(id).copied().unwrap_or(0);
        if *path == "/once/" && ran > 1 {
            broken.push(format!("{id} may run once and ran {ran} times"));
        }
        let Some(answer) = answer else { continue };
        if answer.status == 503 && ran > 0 {
            broken.push(format!("{id} was refused and ran {ran} times"));
        }
        if answer.status == 503 && answer.header("retry-after").is_none() {
            broken.push(format!("{id} was refused without a time to come back"));
        }
        if answer.status != 200 {
            continue;
        }
        let fault = match *path {
            "/all/" => gathered(id, answer, &by_id, shards, need, top),
            _ => single(id, answer, &by_id),
        };
        broken.extend(fault.map(|fault| format!("{id} at {path}: {fault}")));
    }
    broken
}

fn single(id: &str, answer: &Answer, known: &HashMap<&str, &Known<'_>>) -> Option<String> {
    let signature = answer.header("x-server-stamp").unwrap_or_default();
    let Some(searcher) = signature.strip_suffix(&format!(".{id}")).and_then(|it| known.get(it))
    else {
        return Some(format!("signature {signature:?}"));
    };
    if answer.header("x-request-id") != Some(id) {
        return Some("another request's id".to_owned());
    }
    (answer.body != searcher.body).then(|| "another body than the searcher's".to_owned())
}

fn gathered(
    id: &str,
    answer: &Answer,
    known: &HashMap<&str, &Known<'_>>,
    shards: usize,
    need: usize,
    top: usize,
) -> Option<String> {
    let signatures = answer.header("x-part-stamps").unwrap_or_default();
    let mut pools = HashSet::new();
    let mut records: Vec<&[u8]> = Vec::new();
    let mut parts = 0;
    for signature in signatures.split(", ") {
        let searcher = signature.strip_suffix(&format!(".{id}")).and_then(|it| known.get(it));
        let Some(searcher) = searcher else { return Some(format!("signature {signature:?}")) };
        if !pools.insert(&searcher.pool) {
            return Some(format!("two parts of {}", searcher.pool));
        }
        records.extend(searcher.body.chunks_exact(16));
        parts += 1;
    }
    let missing: usize = answer.header("x-missing-parts")?.parse().ok()?;
    if parts + missing != shards || parts < need {
        return Some(format!("{parts} parts, {missing} missing"));
    }
    records.sort_unstable();
    records.reverse();
    records.truncate(top);
    (answer.body != records.concat()).then(|| "not the greatest records of its parts".to_owned())
}
