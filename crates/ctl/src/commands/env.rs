//! `tillerctl env`.

use serde_json::Value;

use crate::arguments::Arguments;
use crate::client;
use crate::commands::block_on;
use crate::commands::read_file;
use crate::output::Failure;
use crate::output::print_value;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;

const HELP: &str = "\
Usage: tillerctl env ACTION --at ADDRESS [OPTIONS]

ADDRESS is the operators' address of any daemon.

Actions:
  trial DOCUMENT --operator NAME [--base REVISION]
      put a document into the trial stage of its environment
  promote ENVIRONMENT --digest DIGEST --operator NAME [--base REVISION]
      bring the document that is in trial into production, unchanged
  status ENVIRONMENT [--change ID]
      show both stages and on which daemons they are in force, or the outcome of a change
  history ENVIRONMENT
      show the last changes
  diff ENVIRONMENT DOCUMENT [--stage trial|production]
      show what a document would change (default: against production)

  --change ID with `trial` and `promote` repeats an earlier change whose outcome was unknown.
  The change is made at most once.

--base is the revision that the change is based on, from `status`; without it the revision
is read first. Every answer has a result code. A change that the store did not confirm is
reported as unknown, with its change id: ask for its outcome later with `status --change ID`.
";

/// Tries, promotes and inspects documents.
pub(crate) fn env(arguments: &mut Arguments) -> Result<(), Failure> {
    let action = arguments.command()?;
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let request = match action.as_deref() {
        Some("trial") => trial(arguments)?,
        Some("promote") => promote(arguments)?,
        Some("status") => status(arguments)?,
        Some("history") => {
            let address = arguments.daemon_address()?;
            let name = arguments.positional("the name of an environment")?;
            HttpRequest::get(address, format!("/v1/env/{name}/history"))
        }
        Some("diff") => diff(arguments)?,
        Some(other) => return Err(Failure::usage(format!("unknown action `{other}`"))),
        None => return Err(Failure::usage("expected an action".to_owned())),
    };
    arguments.finish()?;
    let answer = block_on(send(request))??;
    print_value(arguments.format(), &answer);
    Ok(())
}

async fn send(request: HttpRequest) -> Result<Value, Failure> {
    client::send_json(&HttpClient::new(), request).await
}

fn trial(arguments: &mut Arguments) -> Result<HttpRequest, Failure> {
    let address = arguments.daemon_address()?;
    let operator: String = arguments.required("--operator")?;
    let base: Option<u64> = arguments.option("--base")?;
    let change_id: Option<String> = arguments.option("--change")?;
    let path = arguments.path("the path of a document")?;
    let text = read_file(&path)?;
    // The daemon checks the document as well; this check finds faults even if none answers.
    let environment = tt_model::Environment::parse(&text)
        .map_err(|faults| Failure::new(faults.code, format!("{}: {faults}", path.display())))?;
    let path = format!(
        "/v1/env/{}/trial?{}",
        environment.name,
        change_query(&operator, base, change_id.as_deref())
    );
    Ok(HttpRequest::post(address, path, text.into_bytes()))
}

fn promote(arguments: &mut Arguments) -> Result<HttpRequest, Failure> {
    let address = arguments.daemon_address()?;
    let operator: String = arguments.required("--operator")?;
    let base: Option<u64> = arguments.option("--base")?;
    let change_id: Option<String> = arguments.option("--change")?;
    let digest: String = arguments.required("--digest")?;
    let name = arguments.positional("the name of an environment")?;
    let path = format!(
        "/v1/env/{name}/promote?digest={digest}&{}",
        change_query(&operator, base, change_id.as_deref())
    );
    Ok(HttpRequest::post(address, path, Vec::new()))
}

fn status(arguments: &mut Arguments) -> Result<HttpRequest, Failure> {
    let address = arguments.daemon_address()?;
    let change: Option<String> = arguments.option("--change")?;
    let name = arguments.positional("the name of an environment")?;
    let path = match change {
        Some(id) => format!("/v1/env/{name}/changes/{id}"),
        None => format!("/v1/env/{name}"),
    };
    Ok(HttpRequest::get(address, path))
}

fn diff(arguments: &mut Arguments) -> Result<HttpRequest, Failure> {
    let address = arguments.daemon_address()?;
    let stage: String = arguments.option("--stage")?.unwrap_or_else(|| "production".to_owned());
    let name = arguments.positional("the name of an environment")?;
    let path = arguments.path("the path of a document")?;
    let text = read_file(&path)?;
    Ok(HttpRequest::post(address, format!("/v1/env/{name}/diff?stage={stage}"), text.into_bytes()))
}

/// The query string of a change: who makes it, on which base revision, and the id of the earlier
/// change that it repeats.
fn change_query(operator: &str, base: Option<u64>, change_id: Option<&str>) -> String {
    let base = base.map(|revision| format!("&base={revision}")).unwrap_or_default();
    let operator: String = form_urlencoded::byte_serialize(operator.as_bytes()).collect();
    let change_id = change_id.map(|id| format!("&change={id}")).unwrap_or_default();
    format!("operator={operator}{base}{change_id}")
}
