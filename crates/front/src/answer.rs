//! Builds answers to callers and peers.

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
pub(crate) type Body = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// The frames of a body that is sent while it is produced.
pub(crate) type FrameStream = ReceiverStream<Result<Frame<Bytes>, Infallible>>;

/// Builds a body that is complete.
pub(crate) fn full_body<B>(body: B) -> Body
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(body.into()))
}

/// Headers that apply to one connection only (hop-by-hop).
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

/// Removes the headers that apply to one connection only, including those that `Connection` names.
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

/// Whether callers take a status as a promise that the request has not run. Such a status of a
/// searcher that may have run the request must not be forwarded.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Forwards a searcher's answer, without its hop-by-hop headers.
pub(crate) fn forward(reply: Reply) -> Response<Body> {
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    remove_connection_headers(response.headers_mut());
    response
}

/// Merges the greatest records of the parts, at most `max_records`, into the answer to a query over
/// `shard_count` shards.
pub(crate) fn merged(
    id: &str,
    parts: &[Part],
    shard_count: usize,
    max_records: usize,
) -> Response<Body> {
    let body = merge_records(parts.iter().map(|part| part.records.as_ref()), max_records);
    debug_assert_eq!(body.len() % RECORD_BYTES, 0);
    let mut response = Response::new(full_body(body));
    let headers = response.headers_mut();
    let signatures: Vec<&[u8]> =
        parts.iter().flat_map(|part| &part.signatures).map(HeaderValue::as_bytes).collect();
    insert_header(headers, headers::PART_SIGNATURES, &signatures.join(&b", "[..]));
    headers
        .insert(headers::MISSING_PARTS, HeaderValue::from((shard_count - signatures.len()) as u64));
    insert_header(headers, headers::REQUEST_ID, id.as_bytes());
    response
}

/// Sets a header. An invalid value is logged and left out.
fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &[u8]) {
    match HeaderValue::from_bytes(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::error!("answer: header={name} error=\"{error}\""),
    }
}

/// Builds an answer with a JSON body.
pub(crate) fn json<B>(body: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(full_body(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Builds an error answer. `retry_after` is set only with a status by which callers know that the
/// request has not run.
pub(crate) fn error(
    status: StatusCode,
    message: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut response = json(serde_json::json!({ "error": message }).to_string());
    *response.status_mut() = status;
    if let Some(delay) = retry_after {
        insert_header(
            response.headers_mut(),
            "retry-after",
            format!("{:.3}", delay.as_secs_f64()).as_bytes(),
        );
    }
    response
}
