//! The catalog, acceptance of documents and their dissemination.
