//! The daemon: sockets, timers and threads around the decision crates.
