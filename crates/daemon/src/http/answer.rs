//! Answers of the HTTP interfaces.

use serde::Serialize;

use tt_model::Ran;
use tt_model::ResultCode;

/// The status, the content type and the body of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) kind: ContentKind,
    pub(crate) body: Vec<u8>,
}

/// The type of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContentKind {
    Json,
    Text,
}

/// The body of an answer that carries only a result code.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) code: ResultCode,
    pub(crate) name: &'static str,
    pub(crate) text: &'static str,
    pub(crate) ran: &'static str,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) detail: String,
}

impl Answer {
    pub(crate) fn json<T>(code: ResultCode, body: &T) -> Answer
    where
        T: Serialize,
    {
        match serde_json::to_vec(body) {
            Ok(body) => Answer { status: code.http_status(), kind: ContentKind::Json, body },
            Err(error) => Answer::error(ResultCode::Internal, error.to_string()),
        }
    }

    /// An answer with a JSON body that was encoded earlier.
    pub(crate) fn stored(code: ResultCode, body: Vec<u8>) -> Answer {
        Answer { status: code.http_status(), kind: ContentKind::Json, body }
    }

    pub(crate) fn error(code: ResultCode, detail: String) -> Answer {
        let body = ErrorBody::new(code, detail);
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Answer { status: code.http_status(), kind: ContentKind::Json, body }
    }

    pub(crate) fn text(status: u16, body: String) -> Answer {
        Answer { status, kind: ContentKind::Text, body: body.into_bytes() }
    }
}

impl ErrorBody {
    pub(crate) fn new(code: ResultCode, detail: String) -> ErrorBody {
        ErrorBody { code, name: code.name(), text: code.text(), ran: ran_name(code.ran()), detail }
    }
}

impl ContentKind {
    pub(crate) fn header(self) -> &'static str {
        match self {
            ContentKind::Json => "application/json",
            ContentKind::Text => "text/plain; charset=utf-8",
        }
    }
}

/// The value in answers that says whether the request ran.
pub(crate) fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::Yes => "yes",
        Ran::No => "no",
        Ran::Unknown => "unknown",
    }
}
