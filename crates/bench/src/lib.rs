//! Scenarios, load generation and reports.
