//! Answers to callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio_stream::wrappers::ReceiverStream;

use crate::attempt::Reply;
use crate::parts::Part;
use tt_adapter::headers;
use tt_serve::RECORD_BYTES;
use tt_serve::merge_records;

/// The body of an answer.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<Frames>>;

/// Pieces of a body that is sent as it comes.
pub(crate) type Frames = ReceiverStream<Result<Frame<Bytes>, Infallible>>;

/// A body that is there as a whole.
pub(crate) fn whole<B>(body: B) -> Body
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(body.into()))
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Removes the headers that concern one connection only, those that `Connection` names too.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// A searcher's answer, unchanged.
pub(crate) fn pass_on(reply: Reply) -> Response<Body> {
    let mut response = Response::new(whole(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    remove_connection_headers(response.headers_mut());
    response
}

/// The answer to a query over `shards` shards from the parts that came.
pub(crate) fn gathered(id: &str, parts: &[Part], shards: usize, top: usize) -> Response<Body> {
    let body = merge_records(parts.iter().map(|part| part.records.as_ref()), top);
    debug_assert_eq!(body.len() % RECORD_BYTES, 0);
    let mut response = Response::new(whole(body));
    let headers = response.headers_mut();
    let signatures: Vec<&[u8]> =
        parts.iter().flat_map(|part| &part.signatures).map(HeaderValue::as_bytes).collect();
    insert(headers, headers::PART_SIGNATURES, &signatures.join(&b", "[..]));
    headers.insert(headers::MISSING_PARTS, HeaderValue::from((shards - signatures.len()) as u64));
    insert(headers, headers::REQUEST_ID, id.as_bytes());
    response
}

/// Sets a header from bytes that came in a header.
fn insert(headers: &mut HeaderMap, name: &'static str, value: &[u8]) {
    match HeaderValue::from_bytes(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::error!("answer: header={name} error=\"{error}\""),
    }
}

/// A page in JSON.
pub(crate) fn json<B>(body: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(whole(body));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An answer without a result. `come_back` goes with statuses that promise that the request
/// has not run.
pub(crate) fn refusal(
    status: StatusCode,
    text: &str,
    come_back: Option<Duration>,
) -> Response<Body> {
    let mut response = json(serde_json::json!({ "error": text }).to_string());
    *response.status_mut() = status;
    if let Some(pause) = come_back {
        insert(
            response.headers_mut(),
            "retry-after",
            format!("{:.3}", pause.as_secs_f64()).as_bytes(),
        );
    }
    response
}
