//! Small stand-ins for the platform and the searchers, for tests, demo and bench.
