//! Daemons on the users' platform as separate processes, against a stand-in that speaks
//! the same protocols.

mod fleet;
mod path;
mod soak;
