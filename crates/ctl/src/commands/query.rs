//! `tillerctl query` and `tillerctl entries`.

use serde_json::Value;
use serde_json::json;

use crate::arguments::Arguments;
use crate::client;
use crate::commands::block_on;
use crate::output::Failure;
use crate::output::print_value;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_model::ResultCode;

const QUERY_HELP: &str = "\
Usage: tillerctl query --at ADDRESS --environment NAME --service NAME [OPTIONS] QUERY

Sends one query to the callers' address of a daemon. QUERY is JSON; anything else is sent as
text.

  --stage trial|production   which document to use (default production)
  --shards A,B               shards to query (default all)
  --deadline-ms N            time for the answer (default: that of the service's class)
  --at-most-once             the request must not run twice
  --id ID                    request id (default: a new UUID version 7)
  --attempt N                how many times this id has been sent, including this one
";

const ENTRIES_HELP: &str = "\
Usage: tillerctl entries --at ADDRESS [--caller NAME] [--domain NAME]

Asks a daemon which entry addresses this caller should use.
";

/// Sends one query.
pub(crate) fn query(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{QUERY_HELP}");
        return Ok(());
    }
    let address = arguments.daemon_address()?;
    let environment: String = arguments.required("--environment")?;
    let service: String = arguments.required("--service")?;
    let stage: Option<String> = arguments.option("--stage")?;
    let shards: Option<String> = arguments.option("--shards")?;
    let deadline: Option<u64> = arguments.option("--deadline-ms")?;
    let id: Option<String> = arguments.option("--id")?;
    let attempt: Option<u32> = arguments.option("--attempt")?;
    let mode = if arguments.flag("--at-most-once") { "at-most-once" } else { "idempotent" };
    let text = arguments.positional("a query")?;
    arguments.finish()?;

    let query: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    // A request with a new id is sent for the first time, which is `attempt` 1. That lets a daemon
    // answer "not run" instead of "unknown".
    let attempt = attempt.or(if id.is_none() { Some(1) } else { None });
    let mut body = json!({
        "environment": environment,
        "service": service,
        "request_id": id.unwrap_or_else(|| uuid::Uuid::now_v7().to_string()),
        "mode": mode,
        "query": query,
    });
    if let Some(attempt) = attempt {
        body["attempt"] = json!(attempt);
    }
    if let Some(stage) = stage {
        body["stage"] = json!(stage);
    }
    if let Some(shards) = shards {
        body["shards"] = shards.split(',').collect();
    }
    if let Some(deadline) = deadline {
        body["deadline_ms"] = json!(deadline);
    }
    let request = HttpRequest::post(address, "/v1/query".to_owned(), body.to_string().into_bytes());
    let answer = block_on(async { client::send_json(&HttpClient::new(), request).await })??;
    print_value(arguments.format(), &answer);
    Ok(())
}

/// Asks a daemon for the entry addresses of a caller.
pub(crate) fn entries(arguments: &mut Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{ENTRIES_HELP}");
        return Ok(());
    }
    let address = arguments.daemon_address()?;
    let caller: String = arguments.option("--caller")?.unwrap_or_default();
    let domain: String = arguments.option("--domain")?.unwrap_or_default();
    arguments.finish()?;
    if !is_plain_name(&caller) || !is_plain_name(&domain) {
        return Err(Failure::new(
            ResultCode::UsageError,
            "expected letters, digits, `-`, `.` and `_` in --caller and --domain".to_owned(),
        ));
    }
    let path = format!("/v1/entries?caller={caller}&domain={domain}");
    let answer = block_on(async {
        client::send_json(&HttpClient::new(), HttpRequest::get(address, path)).await
    })??;
    print_value(arguments.format(), &answer);
    Ok(())
}

/// Whether the text can be a query parameter as it is.
fn is_plain_name(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._".contains(&byte))
}
