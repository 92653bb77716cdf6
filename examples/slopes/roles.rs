//! What the example's own executable is when it runs as a process of the measured deployment.
//!
//! A process reads its set-up as one line of JSON, tells its addresses in another one, and ends
//! when its standard input does, so that none outlives the measurement.

use bulrushlink_core::{Code, Error};
use bulrushlink_daemon::{Daemon, Settings};
use bulrushlink_standin::{Deployment, Platform, Workers};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};

/// Address with a port that the operating system chooses.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Set-up of the process that plays the workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WorkersSetup {
    /// URL of the platform.
    pub(crate) platform: String,
    /// The workers.
    pub(crate) deployment: Deployment,
}

/// Where a process listens: callers or the stand-in's own address first, then operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Addresses {
    /// The listeners.
    pub(crate) listeners: Vec<SocketAddr>,
}

/// Plays a role until the standard input ends.
///
/// # Errors
///
/// [`Code::Usage`] for an unknown role, and what starting it returns.
pub(crate) fn play(role: &str) -> Result<(), Error> {
    match role {
        "platform" => {
            let platform = Platform::bind(ANY)?;
            stay(vec![platform.addr()])
        }
        "workers" => {
            let setup: WorkersSetup = setup()?;
            let workers = Workers::bind(ANY, &setup.deployment, Some(&setup.platform))?;
            stay(vec![workers.addr()])
        }
        "daemon" => {
            let settings: Settings = setup()?;
            let daemon = Daemon::spawn(settings)?;
            stay(vec![daemon.callers(), daemon.operators()])
        }
        _ => Err(Error::new(Code::Usage, format!("unknown role {role:?}"))),
    }
}

fn setup<T: DeserializeOwned>() -> Result<T, Error> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(fault)?;
    serde_json::from_str(&line).map_err(|e| Error::new(Code::SettingsInvalid, e.to_string()))
}

/// Tells the addresses and waits for the end. What runs isn't stopped: the process ends.
fn stay(listeners: Vec<SocketAddr>) -> Result<(), Error> {
    let text = serde_json::to_string(&Addresses { listeners }).expect("addresses have JSON");
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(fault)?;
    let mut rest = Vec::new();
    std::io::stdin().lock().read_to_end(&mut rest).map_err(fault)?;
    std::process::exit(0)
}

fn fault(error: std::io::Error) -> Error {
    Error::new(Code::Unreachable, error.to_string())
}
