//! A complete deployment on loopback in one process, for examples and tests: a simulated platform
//! and its workers, and daemons with real network edges.

use bulrushlink_core::{DaemonId, DomainId, Error};
use bulrushlink_daemon::{Daemon, Limits, Member, Settings, Timing};
use bulrushlink_standin::{Deployment, Platform, Workers};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};

/// Operator token of a local deployment.
pub const LOCAL_TOKEN: &str = "local-operator-token";
/// Key shared by the daemons of a local deployment for their messages to each other.
const LOCAL_PEER_KEY: &str = "local-peer-secret";
/// Attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 100;
/// Loopback address with port 0: the operating system assigns a port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of all daemons of a local deployment. Their ports were free when they were chosen.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// URL of the store and the host list.
    pub platform: String,
    /// All daemons, sorted by id.
    pub members: Vec<Member>,
    /// Limits of each daemon.
    pub limits: Limits,
    /// Periods and timeouts of each daemon.
    pub timing: Timing,
    /// Addresses of the listeners, a pair for each of `members`: callers, then operators.
    listeners: Vec<SocketAddr>,
}

impl LocalSettings {
    /// Chooses addresses for `count` daemons, assigned to the domains round-robin.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn choose(platform: String, domains: &[DomainId], count: usize) -> Self {
        let ip = unique_loopback();
        // All ports stay bound until the last one is chosen, so that none is chosen twice.
        let bound: Vec<_> = (0..3 * count).map(|_| bind_free_port(ip)).collect();
        let addr = |i: usize| bound[i].0.local_addr().expect("bound socket reports no address");
        let member = |i: usize| {
            let domain = domains[i % domains.len()].clone();
            let id = format!("{domain}-{}", i / domains.len());
            Member {
                id: id.parse().expect("domain id gives no valid daemon id"),
                domain,
                addr: addr(i),
            }
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
    /// If there is no such daemon.
    pub fn of(&self, daemon: &DaemonId) -> Settings {
        let index = self
            .members
            .binary_search_by(|m| m.id.cmp(daemon))
            .expect("daemon is not one of the members");
        Settings {
            daemon: daemon.clone(),
            callers: self.listeners[2 * index],
            operators: self.listeners[2 * index + 1],
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

/// Binds a port that is free for both TCP and UDP.
fn bind_free_port(ip: Ipv4Addr) -> (TcpListener, UdpSocket) {
    let try_bind = || {
        let tcp = TcpListener::bind((ip, 0)).expect("no free TCP port on loopback");
        let port = tcp.local_addr().expect("bound socket reports no address").port();
        UdpSocket::bind((ip, port)).ok().map(|udp| (tcp, udp))
    };
    (0..PORT_ATTEMPTS)
        .find_map(|_| try_bind())
        .expect("no port free for both TCP and UDP on loopback")
}

/// Returns a loopback address on which no other process or deployment chooses ports. Daemons need
/// the addresses of their peers before these bind them, so ports are chosen first and bound later;
/// on a shared address another process could take them in between.
fn unique_loopback() -> Ipv4Addr {
    static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, number.wrapping_add(high).max(1), mid, low.clamp(1, 254))
}

/// A running deployment.
pub struct Local {
    /// Simulated store and host list.
    pub platform: Platform,
    /// Simulated workers.
    pub workers: Workers,
    /// Daemons, sorted by id.
    pub daemons: Vec<Daemon>,
}

impl Local {
    /// Starts the simulated platform and `daemons` daemons.
    ///
    /// # Errors
    ///
    /// [`bulrushlink_core::Code::Unreachable`] if an address can't be bound.
    pub fn spawn(deployment: &Deployment, daemons: usize) -> Result<Self, Error> {
        let platform = Platform::bind(ANY_PORT)?;
        let workers = Workers::bind(ANY_PORT, deployment, Some(&platform.url()))?;
        let domains: Vec<_> = deployment.domains.iter().map(|d| d.id.clone()).collect();
        let settings = LocalSettings::choose(platform.url(), &domains, daemons);
        let spawn = |member: &Member| Daemon::spawn(settings.of(&member.id));
        let daemons = settings.members.iter().map(spawn).collect::<Result<_, _>>()?;
        Ok(Self { platform, workers, daemons })
    }

    /// Stops all daemons gracefully, then the simulated platform.
    ///
    /// # Errors
    ///
    /// The error of a daemon that has failed.
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
