//! Reads and validates settings; an error names the path of the invalid field.

use bulrushlink_api::from_json;
use bulrushlink_core::{Code, Error, Span};
use std::net::SocketAddr;
use std::path::Path;

use super::{Limits, Settings, Timing};

/// The shortest secret key of the MAC.
const PEER_KEY_MIN_BYTES: usize = 16;
/// The largest allowed body limit.
const BODY_LIMIT_MAX_BYTES: usize = 4 * 1024 * 1024;
/// The most threads of one pool.
const THREADS_MAX: usize = 64;
/// The largest allowed limit of waiting requests.
const WAITING_LIMIT_MAX: usize = 65_536;
/// A lease has to outlast this many missed renewals, so it must exceed this many intervals.
const MISSED_RENEWALS_MAX: u64 = 3;

fn invalid<T>(path: &str, text: impl Into<String>) -> Result<T, Error> {
    Err(Error::at(Code::SettingsInvalid, path, text))
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] with the path of the field.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path);
        let unreadable = |e| Error::new(Code::SettingsInvalid, format!("{}: {e}", path.display()));
        Self::parse(&text.map_err(unreadable)?)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] with the path of the field.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut settings: Self = from_json(text).map_err(|error| match error.field() {
            Some(field) => Error::at(Code::SettingsInvalid, field, error.text()),
            None => Error::new(Code::SettingsInvalid, error.text()),
        })?;
        settings.check()?;
        settings.members.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(settings)
    }

    /// Checks the settings for values that are invalid or contradict each other.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] with the path of the field.
    pub fn check(&self) -> Result<(), Error> {
        self.check_members()?;
        self.check_listeners()?;
        check_url("/store", &self.store)?;
        check_url("/hosts", &self.hosts)?;
        if self.operator_token.is_empty() {
            return invalid("/operator_token", "must not be empty");
        }
        if self.peer_key.len() < PEER_KEY_MIN_BYTES {
            return invalid("/peer_key", format!("must have {PEER_KEY_MIN_BYTES} bytes or more"));
        }
        if !matches!(self.log.as_str(), "error" | "warn" | "info" | "debug") {
            return invalid("/log", "must be one of error, warn, info and debug");
        }
        self.limits.check().map_err(|error| error.with_prefix("/limits"))?;
        self.timing.check().map_err(|error| error.with_prefix("/timing"))
    }

    fn check_members(&self) -> Result<(), Error> {
        for (i, member) in self.members.iter().enumerate() {
            let earlier = &self.members[..i];
            if earlier.iter().any(|m| m.id == member.id) {
                return invalid(&format!("/members/{i}/id"), "is there twice");
            }
            if earlier.iter().any(|m| m.addr == member.addr) {
                return invalid(&format!("/members/{i}/addr"), "is another member's address too");
            }
            if member.addr.port() == 0 || member.addr.ip().is_unspecified() {
                let text = "must be an address that peers can reach";
                return invalid(&format!("/members/{i}/addr"), text);
            }
        }
        match self.members.iter().any(|m| m.id == self.daemon) {
            true => Ok(()),
            false => invalid("/daemon", "is not one of the members"),
        }
    }

    fn check_listeners(&self) -> Result<(), Error> {
        let own = self.members.iter().find(|m| m.id == self.daemon);
        let peers = own.map(|m| m.addr);
        if conflicts(self.callers, self.operators) {
            return invalid("/operators", "clashes with /callers");
        }
        for (path, addr) in [("/callers", self.callers), ("/operators", self.operators)] {
            if peers.is_some_and(|peers| conflicts(addr, peers)) {
                return invalid(path, "clashes with the daemon's address for peers");
            }
        }
        Ok(())
    }
}

/// Returns true if two listeners use the same port, and the same address or one uses all addresses.
fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

fn check_url(path: &str, url: &str) -> Result<(), Error> {
    let addr = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    match addr.and_then(|addr| addr.parse::<SocketAddr>().ok()) {
        Some(addr) if addr.port() != 0 => Ok(()),
        _ => invalid(path, "must be of the form http://IP:PORT"),
    }
}

impl Limits {
    fn check(&self) -> Result<(), Error> {
        let bounds = [
            ("/body", self.body, BODY_LIMIT_MAX_BYTES),
            ("/waiting", self.waiting, WAITING_LIMIT_MAX),
            ("/readers", self.readers, THREADS_MAX),
            ("/store_calls", self.store_calls, THREADS_MAX),
            ("/worker_calls", self.worker_calls, THREADS_MAX),
        ];
        for (path, value, max) in bounds {
            if value == 0 || value > max {
                return invalid(path, format!("must be 1 to {max}"));
            }
        }
        if self.store_rate == 0 {
            return invalid("/store_rate", "must be at least 1");
        }
        if self.control_rate == 0 {
            return invalid("/control_rate", "must be at least 1");
        }
        Ok(())
    }
}

impl Timing {
    fn check(&self) -> Result<(), Error> {
        let spans = [
            ("/heartbeat", self.heartbeat),
            ("/suspect", self.suspect),
            ("/hosts", self.hosts),
            ("/renew", self.renew),
            ("/lease", self.lease),
            ("/reserve", self.reserve),
            ("/watch", self.watch),
            ("/store", self.store),
            ("/worker", self.worker),
            ("/linger", self.linger),
            ("/drain", self.drain),
        ];
        if let Some((path, _)) = spans.iter().find(|(_, span)| *span == Span::ZERO) {
            return invalid(path, "must not be zero");
        }
        if self.lease.millis() <= MISSED_RENEWALS_MAX * self.renew.millis() {
            return invalid("/lease", "must be longer than three renewals");
        }
        if self.reserve >= self.lease {
            return invalid("/reserve", "must be shorter than the lease");
        }
        if self.reserve <= self.worker {
            return invalid("/reserve", "must be longer than a worker call may take");
        }
        if self.suspect.millis() <= 2 * self.heartbeat.millis() {
            return invalid("/suspect", "must be longer than two heartbeats");
        }
        Ok(())
    }
}
