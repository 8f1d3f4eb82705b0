//! The callers' interface: entry addresses and queries.

use std::sync::Arc;

use crate::http::answer::Answer;
use crate::http::server::Request;
use crate::node::Node;
use crate::query;
use tt_model::ResultCode;

/// Answers one request of a caller.
pub(crate) async fn answer(node: &Arc<Node>, request: Request) -> Answer {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/entries") => node.entries(&request.query),
        ("POST", "/v1/query") => query::answer(node, request.body).await,
        (_, "/v1/entries" | "/v1/query") => {
            Answer::error(ResultCode::MethodNotAllowed, format!("found {}", request.method))
        }
        _ => Answer::error(ResultCode::NotFound, request.path),
    }
}
