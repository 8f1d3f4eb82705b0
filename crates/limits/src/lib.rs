//! Contracts, admission, slot queues, connection counts and searcher health.
