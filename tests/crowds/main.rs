//! Callers that don't behave, in crowds, against daemons as processes with little memory.
//!
//! Each test opens a crowd, leaves it open, and checks what doesn't depend on the speed of the machine: that
//! the daemon lives, that its memory and descriptors stay within those of its host, and that an ordinary
//! request is answered. The tests run one at a time.

#[path = "../platform/fleet.rs"]
#[allow(dead_code)] // Shared with the tests of the platform, which use all of it.
mod fleet;
#[path = "../platform/proxy.rs"]
#[allow(dead_code)] // As above.
mod proxy;

mod calm;
mod crowd;
mod host;
mod older;
mod responses;
