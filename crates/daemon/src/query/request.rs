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

/// The longest request id.
const MAX_ID_BYTES: usize = 128;

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
    /// How often the caller has sent this id, this time included; 0 if it does not say.
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
    /// It may: hedged and retried as needed.
    #[default]
    Idempotent,
    /// It may not: runs at most once under its request id.
    AtMostOnce,
}

/// The shards that the caller names.
#[derive(Debug, Default, Deserialize)]
#[serde(untagged, expecting = "expected `\"all\"` or a list of shard names")]
pub(crate) enum ShardList {
    /// Every shard that the service may ask.
    #[default]
    Missing,
    /// The word `all`.
    Word(AllWord),
    /// These shards.
    Names(Vec<String>),
}

/// The word that asks for every shard.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum AllWord {
    /// Every shard that the service may ask.
    All,
}

/// A request that does not fit the environment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) code: ResultCode,
    pub(crate) detail: String,
}

/// A request in the terms of an environment.
#[derive(Debug)]
pub(crate) struct Resolved {
    pub(crate) service: ServiceId,
    pub(crate) shards: Shards,
    pub(crate) mode: Mode,
    pub(crate) time: Duration,
}

impl QueryBody {
    /// Reads a request.
    pub(crate) fn parse(body: &[u8]) -> Result<QueryBody, Refused> {
        let body: QueryBody = serde_json::from_slice(body)
            .map_err(|error| Refused::new(ResultCode::MalformedRequest, error.to_string()))?;
        let id = &body.request_id;
        if id.is_empty()
            || id.len() > MAX_ID_BYTES
            || !id.bytes().all(|byte| byte.is_ascii_graphic())
        {
            let detail =
                format!("request_id: expected 1 to {MAX_ID_BYTES} visible ASCII characters");
            return Err(Refused::new(ResultCode::MalformedRequest, detail));
        }
        if body.deadline_ms == Some(0) {
            return Err(Refused::new(
                ResultCode::DeadlinePassed,
                "deadline_ms: found 0".to_owned(),
            ));
        }
        Ok(body)
    }

    /// The digest of what the request asks for. A repeat has the same, whatever its deadline
    /// and its attempt.
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

    /// Looks up what the request names.
    pub(crate) fn resolve(&self, environment: &Environment) -> Result<Resolved, Refused> {
        let Some(service) = environment.service(&self.service) else {
            return Err(Refused::new(
                ResultCode::UnknownService,
                format!("service: `{}`", self.service),
            ));
        };
        let class = &environment.classes[environment.services[service].class];
        let time = match self.deadline_ms {
            Some(ms) => Duration::from_millis(ms).min(class.deadline),
            None => class.deadline,
        };
        let mode = match self.mode {
            RequestMode::Idempotent => Mode::Idempotent,
            RequestMode::AtMostOnce => Mode::AtMostOnce,
        };
        let shards = match &self.shards {
            ShardList::Missing | ShardList::Word(AllWord::All) => Shards::All,
            ShardList::Names(names) => Shards::Named(named(environment, names)?),
        };
        Ok(Resolved { service, shards, mode, time })
    }
}

impl Refused {
    pub(crate) fn new(code: ResultCode, detail: String) -> Refused {
        Refused { code, detail }
    }
}

fn named(environment: &Environment, names: &[String]) -> Result<Vec<ShardId>, Refused> {
    if names.is_empty() {
        let detail = "shards: expected at least one shard or `\"all\"`".to_owned();
        return Err(Refused::new(ResultCode::MalformedRequest, detail));
    }
    let mut shards = Vec::with_capacity(names.len());
    for name in names {
        let Some(shard) = environment.shard(name) else {
            return Err(Refused::new(ResultCode::UnknownShard, format!("shards: `{name}`")));
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
