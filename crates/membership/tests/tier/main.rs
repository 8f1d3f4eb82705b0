//! Several daemons with all decision code against a plain model of the store and of the
//! searchers.

mod fuzz;
mod scenarios;
mod searcher;
mod store;
mod world;
