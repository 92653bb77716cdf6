//! A whole deployment on loopback inside one process, for examples and tests: the stand-ins for
//! the platform, and daemons with real edges.

use bulrushlink_core::{DaemonId, DomainId, Error};
use bulrushlink_daemon::{Daemon, Limits, Member, Settings, Timing};
use bulrushlink_standin::{Deployment, Platform, Workers};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};

/// Token of the operators of a local deployment.
pub const LOCAL_TOKEN: &str = "local-operator-token";
/// Secret of the daemons of a local deployment.
const LOCAL_PEER_KEY: &str = "local-peer-secret";
/// Ports that are tried before loopback is taken for full.
const PORT_TRIES: u32 = 100;
/// Address with a port that the operating system chooses.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings for the daemons of a local deployment, with addresses that are free now.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// URL of the store and the host list.
    pub platform: String,
    /// All daemons, sorted by name.
    pub members: Vec<Member>,
    /// Bounds of each daemon.
    pub limits: Limits,
    /// Periods and time-outs of each daemon.
    pub timing: Timing,
    /// Addresses of the listeners for callers and operators, two for each of `members`.
    listeners: Vec<SocketAddr>,
}

impl LocalSettings {
    /// Chooses addresses for `count` daemons, spread over the domains in turn.
    ///
    /// # Panics
    ///
    /// When loopback has no free port.
    pub fn choose(platform: String, domains: &[DomainId], count: usize) -> Self {
        let ip = own_loopback();
        // All ports are held until the last one is chosen, so that none is chosen twice.
        let held: Vec<_> = (0..3 * count).map(|_| hold_port(ip)).collect();
        let addr = |i: usize| held[i].0.local_addr().expect("a bound socket has an address");
        let member = |i: usize| {
            let domain = domains[i % domains.len()].clone();
            let id = format!("{domain}-{}", i / domains.len());
            Member { id: id.parse().expect("valid name"), domain, addr: addr(i) }
        };
        let mut members: Vec<_> = (0..count).map(member).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        Self {
            platform,
            members,
            limits: Limits::default(),
            timing: Timing::default(),
            listeners: (count..3 * count).map(addr).collect(),
        }
    }

    /// Returns the settings of one daemon.
    ///
    /// # Panics
    ///
    /// When there is no such daemon.
    pub fn of(&self, daemon: &DaemonId) -> Settings {
        let place = self.members.binary_search_by(|m| m.id.cmp(daemon)).expect("a known daemon");
        Settings {
            daemon: daemon.clone(),
            callers: self.listeners[2 * place],
            operators: self.listeners[2 * place + 1],
            store: self.platform.clone(),
            hosts: self.platform.clone(),
            operator_token: LOCAL_TOKEN.to_string(),
            peer_key: LOCAL_PEER_KEY.to_string(),
            members: self.members.clone(),
            limits: self.limits,
            timing: self.timing,
            log: "warn".to_string(),
        }
    }
}

/// Holds a port that is free for TCP and UDP alike.
fn hold_port(ip: Ipv4Addr) -> (TcpListener, UdpSocket) {
    let find = || {
        let tcp = TcpListener::bind((ip, 0)).expect("loopback has a free port");
        let port = tcp.local_addr().expect("a bound socket has an address").port();
        UdpSocket::bind((ip, port)).ok().map(|udp| (tcp, udp))
    };
    (0..PORT_TRIES).find_map(|_| find()).expect("loopback has a port that is free for both")
}

/// Returns a loopback address that nobody else chooses ports on: peers' addresses have to be known
/// before their daemons bind them, so a port is chosen first and bound later.
fn own_loopback() -> Ipv4Addr {
    static CHOICES: AtomicU8 = AtomicU8::new(1);
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    let choice = CHOICES.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, choice.wrapping_add(high).max(1), mid, low.clamp(1, 254))
}

/// A running deployment.
pub struct Local {
    /// The store and the host list.
    pub platform: Platform,
    /// All workers.
    pub workers: Workers,
    /// The daemons, in the order of their names.
    pub daemons: Vec<Daemon>,
}

impl Local {
    /// Starts the stand-ins and `daemons` daemons.
    ///
    /// # Errors
    ///
    /// [`bulrushlink_core::Code::Unreachable`] when an address can't be bound.
    pub fn spawn(deployment: &Deployment, daemons: usize) -> Result<Self, Error> {
        let platform = Platform::bind(ANY)?;
        let workers = Workers::bind(ANY, deployment, Some(&platform.url()))?;
        let domains: Vec<_> = deployment.domains.iter().map(|d| d.id.clone()).collect();
        let settings = LocalSettings::choose(platform.url(), &domains, daemons);
        let spawn = |member: &Member| Daemon::spawn(settings.of(&member.id));
        let daemons = settings.members.iter().map(spawn).collect::<Result<_, _>>()?;
        Ok(Self { platform, workers, daemons })
    }

    /// Stops all daemons gracefully, then the stand-ins.
    ///
    /// # Errors
    ///
    /// What ended a daemon before.
    pub fn stop(self) -> Result<(), Error> {
        let stops: Vec<_> =
            self.daemons.into_iter().map(|daemon| std::thread::spawn(|| daemon.stop())).collect();
        for stop in stops {
            stop.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
        }
        self.workers.stop();
        self.platform.stop();
        Ok(())
    }
}
