//! Daemons on the users' platform as separate processes, against a stand-in that speaks
//! the same protocols.

mod configuration;
mod fleet;
mod odd_entries;
mod path;
mod proxy;
mod soak;
