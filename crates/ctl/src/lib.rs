//! The operators' and testers' tool.
