//! Output of commands: results, failures and exit codes.

use std::io::Write;
use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use tt_model::ResultCode;

/// How a command prints its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Why a command failed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Failure {
    code: ResultCode,
    detail: String,
    /// The answer of the daemon, if it refused the command.
    answer: Option<Value>,
}

impl Failure {
    pub(crate) fn new(code: ResultCode, detail: String) -> Failure {
        Failure { code, detail, answer: None }
    }

    pub(crate) fn usage(detail: String) -> Failure {
        Failure::new(ResultCode::UsageError, detail)
    }

    /// A failure with the code and the detail of a daemon's answer.
    pub(crate) fn refused(answer: Value) -> Failure {
        let code =
            answer["code"].as_u64().and_then(|number| ResultCode::from_number(number as u16));
        let detail = answer["detail"].as_str().unwrap_or_default().to_owned();
        Failure { code: code.unwrap_or(ResultCode::Internal), detail, answer: Some(answer) }
    }

    /// Prints the failure and returns the exit code.
    pub(crate) fn report(self, format: Format) -> ExitCode {
        match format {
            Format::Json => {
                let body = self.answer.unwrap_or_else(|| {
                    json!({
                        "code": self.code,
                        "name": self.code.name(),
                        "text": self.code.text(),
                        "detail": self.detail,
                    })
                });
                print_line(body);
            }
            Format::Text => {
                eprintln!("tillerctl: {}: {}", self.code, self.code.text());
                if !self.detail.is_empty() {
                    eprintln!("{}", self.detail);
                }
            }
        }
        match self.code {
            ResultCode::UsageError => ExitCode::from(2),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Prints a JSON value on one line, or indented in the text format.
pub(crate) fn print_value(format: Format, value: &Value) {
    match format {
        Format::Json => print_line(value),
        Format::Text => print_line(format!("{value:#}")),
    }
}

/// Prints a line. Errors are ignored, because the reader of a pipe may close it early, as `head`
/// does.
pub(crate) fn print_line<T>(text: T)
where
    T: std::fmt::Display,
{
    let _ = writeln!(std::io::stdout(), "{text}");
}
