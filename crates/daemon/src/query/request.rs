//! The body of `POST /v1/query`.

use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;

use tt_claims::BodyDigest;
use tt_control::Stage;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_routing::Mode;
use tt_routing::Shards;

/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A request as the caller wrote it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QueryBody {
    pub(crate) environment: String,
    #[serde(default = "production")]
    pub(crate) stage: Stage,
    pub(crate) service: String,
    pub(crate) request_id: String,
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(crate) mode: RequestMode,
    /// Number of requests that the caller has sent with this id, this one included; 0 if it is
    /// not stated.
    #[serde(default)]
    pub(crate) attempt: u32,
    #[serde(default)]
    pub(crate) shards: ShardList,
    pub(crate) query: Box<RawValue>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RequestMode {
    /// Sub-queries may be hedged and retried.
    #[default]
    Idempotent,
    /// The request runs at most once under its request id.
    AtMostOnce,
}

/// The shards that a request names.
#[derive(Debug, Default, Deserialize)]
#[serde(untagged, expecting = "expected `\"all\"` or a list of shard names")]
pub(crate) enum ShardList {
    /// No list: every shard that the service may query.
    #[default]
    Missing,
    /// The word `all`.
    Word(AllWord),
    /// These shards.
    Names(Vec<String>),
}

/// The word that stands for every shard.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum AllWord {
    /// Every shard that the service may query.
    All,
}

/// Why a request is rejected before it runs.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) code: ResultCode,
    pub(crate) detail: String,
}

/// A request with its names resolved to ids of the environment.
#[derive(Debug)]
pub(crate) struct Resolved {
    pub(crate) service: ServiceId,
    pub(crate) shards: Shards,
    pub(crate) mode: Mode,
    pub(crate) timeout: Duration,
}

impl QueryBody {
    /// Parses and checks the body of a request.
    pub(crate) fn parse(body: &[u8]) -> Result<QueryBody, Rejection> {
        let body: QueryBody = serde_json::from_slice(body)
            .map_err(|error| Rejection::new(ResultCode::MalformedRequest, error.to_string()))?;
        let id = &body.request_id;
        if id.is_empty()
            || id.len() > MAX_REQUEST_ID_BYTES
            || !id.bytes().all(|byte| byte.is_ascii_graphic())
        {
            let detail = format!(
                "request_id: expected 1 to {MAX_REQUEST_ID_BYTES} visible ASCII characters"
            );
            return Err(Rejection::new(ResultCode::MalformedRequest, detail));
        }
        if body.deadline_ms == Some(0) {
            return Err(Rejection::new(
                ResultCode::DeadlinePassed,
                "deadline_ms: found 0".to_owned(),
            ));
        }
        Ok(body)
    }

    /// The digest of what the request asks for. It leaves out the deadline and the attempt, so
    /// that repeated requests have the same digest.
    pub(crate) fn digest(&self) -> BodyDigest {
        let shards = match &self.shards {
            ShardList::Missing | ShardList::Word(AllWord::All) => "all".to_owned(),
            ShardList::Names(names) => names.join(","),
        };
        let text = format!(
            "{}\n{}\n{}\n{shards}\n{}",
            self.environment, self.stage, self.service, self.query
        );
        BodyDigest::of(text.as_bytes())
    }

    /// Resolves the service and the shards that the request names.
    pub(crate) fn resolve(&self, environment: &Environment) -> Result<Resolved, Rejection> {
        let Some(service) = environment.service(&self.service) else {
            return Err(Rejection::new(
                ResultCode::UnknownService,
                format!("service: `{}`", self.service),
            ));
        };
        let class = &environment.classes[environment.services[service].class];
        let timeout = match self.deadline_ms {
            Some(ms) => Duration::from_millis(ms).min(class.timeout),
            None => class.timeout,
        };
        let mode = match self.mode {
            RequestMode::Idempotent => Mode::Idempotent,
            RequestMode::AtMostOnce => Mode::AtMostOnce,
        };
        let shards = match &self.shards {
            ShardList::Missing | ShardList::Word(AllWord::All) => Shards::All,
            ShardList::Names(names) => Shards::Named(shard_ids(environment, names)?),
        };
        Ok(Resolved { service, shards, mode, timeout })
    }
}

impl Rejection {
    pub(crate) fn new(code: ResultCode, detail: String) -> Rejection {
        Rejection { code, detail }
    }
}

fn shard_ids(environment: &Environment, names: &[String]) -> Result<Vec<ShardId>, Rejection> {
    if names.is_empty() {
        let detail = "shards: expected at least one shard or `\"all\"`".to_owned();
        return Err(Rejection::new(ResultCode::MalformedRequest, detail));
    }
    let mut shards = Vec::with_capacity(names.len());
    for name in names {
        let Some(shard) = environment.shard(name) else {
            return Err(Rejection::new(ResultCode::UnknownShard, format!("shards: `{name}`")));
        };
        shards.push(shard);
    }
    shards.sort();
    shards.dedup();
    Ok(shards)
}

fn production() -> Stage {
    Stage::Production
}
