//! Roles in which the example's own executable runs as a process of the measured deployment.
//!
//! A process reads its set-up as one line of JSON from stdin, prints its addresses as another one,
//! and exits when its stdin is closed, so that no process outlives the measurement.

use bulrushlink_core::{Code, Error};
use bulrushlink_daemon::{Daemon, Settings};
use bulrushlink_standin::{Deployment, Platform, Workers};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};

/// Address with a port that the operating system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Set-up of the process that stands in for the workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WorkersSetup {
    /// URL of the platform.
    pub(crate) platform: String,
    /// Deployment of which the process runs the workers.
    pub(crate) deployment: Deployment,
}

/// Addresses of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Addresses {
    /// The listener for callers and the one for operators; of a stand-in, its only listener.
    pub(crate) listeners: Vec<SocketAddr>,
}

/// Runs a role until stdin is closed.
///
/// # Errors
///
/// [`Code::Usage`] for an unknown role, and the error of a process that does not start.
pub(crate) fn run(role: &str) -> Result<(), Error> {
    match role {
        "platform" => {
            let platform = Platform::bind(ANY_PORT)?;
            serve_until_eof(vec![platform.addr()])
        }
        "workers" => {
            let setup: WorkersSetup = read_setup()?;
            let workers = Workers::bind(ANY_PORT, &setup.deployment, Some(&setup.platform))?;
            serve_until_eof(vec![workers.addr()])
        }
        "daemon" => {
            let settings: Settings = read_setup()?;
            let daemon = Daemon::spawn(settings)?;
            serve_until_eof(vec![daemon.callers(), daemon.operators()])
        }
        _ => Err(Error::new(Code::Usage, format!("unknown role {role:?}"))),
    }
}

fn read_setup<T: DeserializeOwned>() -> Result<T, Error> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(io_error)?;
    serde_json::from_str(&line).map_err(|e| Error::new(Code::SettingsInvalid, e.to_string()))
}

/// Prints the addresses, waits until stdin is closed and exits without stopping the role first.
fn serve_until_eof(listeners: Vec<SocketAddr>) -> Result<(), Error> {
    let text = serde_json::to_string(&Addresses { listeners }).expect("the addresses serialise");
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(io_error)?;
    let mut rest = Vec::new();
    std::io::stdin().lock().read_to_end(&mut rest).map_err(io_error)?;
    std::process::exit(0)
}

fn io_error(error: std::io::Error) -> Error {
    Error::new(Code::Unreachable, error.to_string())
}
