//! Samples of the resources that a process has used, and the rates between two samples.

use bulrushlink_api::Client;
use bulrushlink_core::{Code, Error};
use serde::Serialize;
use std::time::Instant;

/// Clock ticks per second in `/proc/PID/stat`, which the kernel interface fixes.
const TICKS_PER_S: f64 = 100.0;
/// Fields of `/proc/PID/stat` between the name and the processor times.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Traffic of one edge, such as that with the workers: totals in a sample, or rates per second
/// between two samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct EdgeTraffic {
    /// Calls made, or messages sent.
    pub(crate) calls: f64,
    /// Bytes sent.
    pub(crate) sent: f64,
    /// Bytes received.
    pub(crate) received: f64,
}

/// Traffic of a daemon by edge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Traffic {
    /// With other daemons; `calls` are frames.
    pub(crate) peer: EdgeTraffic,
    /// With workers; bytes are those of bodies.
    pub(crate) worker: EdgeTraffic,
    /// With the store; bytes are those of bodies.
    pub(crate) store: EdgeTraffic,
    /// For the host list; bytes are those of bodies.
    pub(crate) hosts: EdgeTraffic,
}

/// Totals of a process since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    at: Instant,
    /// User and system time, in milliseconds.
    cpu_ms: f64,
    edges: Traffic,
}

/// Rates of a process over a window.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Rates {
    /// Processor time, in percent of a core.
    pub(crate) cpu: f64,
    /// Resident memory at the end of the window, in MB.
    pub(crate) memory: f64,
    /// Traffic per second.
    pub(crate) edges: Traffic,
}

impl EdgeTraffic {
    fn rate(self, before: Self, seconds: f64) -> Self {
        Self {
            calls: (self.calls - before.calls) / seconds,
            sent: (self.sent - before.sent) / seconds,
            received: (self.received - before.received) / seconds,
        }
    }

    /// Returns the bytes sent and received.
    pub(crate) fn bytes(self) -> f64 {
        self.sent + self.received
    }
}

impl Sample {
    /// Takes a sample of the process `pid`, whose metrics are at `url`.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] when the process has exited.
    pub(crate) fn take(pid: u32, client: &Client, url: &str) -> Result<Self, Error> {
        let reply = client.get(url)?;
        let edges = parse_metrics(&reply.body);
        Ok(Self { at: Instant::now(), cpu_ms: cpu_ms(pid)?, edges })
    }

    /// Returns the rates since `before`.
    ///
    /// # Errors
    ///
    /// As [`Self::take`].
    pub(crate) fn since(&self, before: &Self, pid: u32) -> Result<Rates, Error> {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let (edges, old) = (self.edges, before.edges);
        Ok(Rates {
            cpu: (self.cpu_ms - before.cpu_ms) / seconds / 10.0,
            memory: memory_mb(pid)?,
            edges: Traffic {
                peer: edges.peer.rate(old.peer, seconds),
                worker: edges.worker.rate(old.worker, seconds),
                store: edges.store.rate(old.store, seconds),
                hosts: edges.hosts.rate(old.hosts, seconds),
            },
        })
    }
}

/// Returns the traffic counters of a metrics page.
pub(crate) fn parse_metrics(page: &str) -> Traffic {
    let mut traffic = Traffic::default();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        let (name, labels) = name.split_once('{').unwrap_or((name, ""));
        let edge = labels.split_once("edge=\"").and_then(|(_, rest)| rest.split('"').next());
        let target = match edge {
            None => &mut traffic.peer,
            Some("worker") => &mut traffic.worker,
            Some("store") => &mut traffic.store,
            Some("hosts") => &mut traffic.hosts,
            Some(_) => continue,
        };
        match name {
            "bulrushlink_edge_calls_total" | "bulrushlink_peer_sent_total" => target.calls += value,
            "bulrushlink_edge_sent_bytes_total" | "bulrushlink_peer_sent_bytes_total" => {
                target.sent += value;
            }
            "bulrushlink_edge_received_bytes_total" | "bulrushlink_peer_received_bytes_total" => {
                target.received += value;
            }
            _ => {}
        }
    }
    traffic
}

fn cpu_ms(pid: u32) -> Result<f64, Error> {
    let text = read_proc(pid, "stat")?;
    // The name in parentheses may contain any characters, so fields are split after its end.
    let fields = text.rsplit_once(") ").map(|(_, rest)| rest).unwrap_or_default();
    let mut fields = fields.split(' ').skip(FIELDS_BEFORE_TIMES);
    let mut next = || fields.next().and_then(|f| f.parse::<f64>().ok());
    let (Some(user), Some(system)) = (next(), next()) else {
        return Err(Error::new(Code::BadAnswer, "no processor times"));
    };
    Ok((user + system) * 1_000.0 / TICKS_PER_S)
}

fn memory_mb(pid: u32) -> Result<f64, Error> {
    let text = read_proc(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.map(|kib| kib / 1024.0).ok_or_else(|| Error::new(Code::BadAnswer, "no resident memory"))
}

fn read_proc(pid: u32, file: &str) -> Result<String, Error> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(path).map_err(|e| Error::new(Code::Unreachable, e.to_string()))
}
