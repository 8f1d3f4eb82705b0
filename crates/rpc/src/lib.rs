//! Messages between daemons and their generated tonic code.
