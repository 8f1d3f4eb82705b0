//! The HTTP interfaces for callers and for operators.

mod answer;
mod body;
mod callers;
mod operators;
mod server;

pub(crate) use answer::Answer;
pub(crate) use answer::ErrorBody;
pub(crate) use server::Interface;
pub(crate) use server::Listener;
pub(crate) use server::parameter;
pub(crate) use server::start;
