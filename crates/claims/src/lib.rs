//! At-most-once claims of non-idempotent requests.
