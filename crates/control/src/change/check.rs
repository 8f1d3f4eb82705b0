//! Checks of a request that need no store.

use super::ChangeKind;
use super::ChangeRequest;
use super::Outcome;
use crate::catalog::MAX_OPERATOR_BYTES;
use tt_model::Environment;
use tt_model::Fault;
use tt_model::ResultCode;

/// Checks the operator's name and, for a trial, the whole document.
pub(super) fn check_request(request: &ChangeRequest) -> Result<(), Outcome> {
    let operator = &request.operator;
    if operator.is_empty() || operator.len() > MAX_OPERATOR_BYTES {
        let text = format!("expected 1 to {MAX_OPERATOR_BYTES} bytes");
        return Err(Outcome::refused(ResultCode::MalformedRequest, fault("operator", &text)));
    }
    let ChangeKind::Trial { text } = &request.kind else {
        return Ok(());
    };
    match Environment::parse(text) {
        Ok(environment) if environment.name == request.environment => Ok(()),
        Ok(environment) => {
            let text = format!(
                "expected `{}`, the environment of the request, found `{}`",
                request.environment, environment.name
            );
            Err(Outcome::refused(ResultCode::InvalidDocument, fault("environment", &text)))
        }
        Err(faults) => Err(Outcome::Refused { code: faults.code, faults: faults.list }),
    }
}

/// A fault that has no position in a document.
pub(super) fn fault(field: &str, message: &str) -> Fault {
    Fault { line: 1, column: 1, field: field.to_owned(), message: message.to_owned() }
}
