//! Members, heartbeats, assignment, ownership rights and entry addresses.
