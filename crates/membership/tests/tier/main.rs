//! Simulation of several daemons that run all code of this crate, with simple models of the
//! network, the store, the list of daemons and the searchers.

mod fuzz;
mod scenarios;
mod searcher;
mod simulation;
mod store;
