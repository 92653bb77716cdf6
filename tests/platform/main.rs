//! Daemons on the users' platform as separate processes, against a stand-in on the same wire.

mod fleet;
mod path;
mod soak;
