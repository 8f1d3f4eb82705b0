//! CBOR payloads of control messages.

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A payload that cannot be decoded.
#[derive(Debug, Display, Error)]
#[display("the payload is not valid: {reason}")]
pub(crate) struct DecodeError {
    reason: String,
}

/// Encodes a message as a payload.
pub(crate) fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut payload = Vec::new();
    // Writing to memory cannot fail, and message types have no unserializable values.
    ciborium::into_writer(message, &mut payload).expect("a message type is serializable");
    payload
}

/// Decodes the message in a payload.
pub(crate) fn decode<T>(payload: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    ciborium::from_reader(payload).map_err(|error| DecodeError { reason: error.to_string() })
}
