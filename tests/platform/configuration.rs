//! Daemons with a configuration that is large for the link to the store.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::{Emulator, EmulatorOptions, FleetWorkerBounds, JobText, state_text};
use std::time::{Duration, Instant};

use crate::fleet::{DaemonProcess, call, eventually};
use crate::proxy::{LinkState, NARROW_RATE, Proxy};

const KEY: Option<&str> = Some("key-north");
/// Number of queues with which a configuration takes 1 MB, the most that the store accepts.
const IDLE_QUEUES: usize = 4_200;
/// Time within which a configuration has to be in use: the bound of deployments with such links.
const APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// Time during which the daemon is watched once the configuration is in use.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Fraction of the link that a daemon may use while nothing changes.
const IDLE_SHARE: f64 = 0.1;

/// A daemon behind a narrow link stopped answering for good once the configuration took longer to
/// transfer than a read of it may take.
#[test]
fn daemon_behind_narrow_link_serves_with_large_configuration() {
    let emulator = Emulator::spawn(EmulatorOptions {
        workers: 1,
        capacity: Resources { cpu: 8_000, memory: 65_536, accelerators: 8 },
        bounds: FleetWorkerBounds { lease_max: 6_000, stop: 50 },
    })
    .expect("the emulator starts");
    emulator.configure(1, &["key-north"]);
    let link = Proxy::open(emulator.store());
    link.set(LinkState::Narrow(NARROW_RATE));
    let daemon = DaemonProcess::spawn("d0".to_string(), &link.addr().to_string());
    let path = format!("/replay/{:016x}", 1);
    let job = JobText::new(100).step(1, false).text();
    eventually("the job is accepted", || {
        let answer = call(&daemon.callers, "POST", &path, KEY, &job)?;
        (answer.status == 200).then_some(())
    });

    emulator.configure_large(2, &["key-north", "key-south"], IDLE_QUEUES);
    let changed = Instant::now();
    let status =
        |key| call(&daemon.callers, "GET", &path, Some(key), "").map_or(0, |answer| answer.status);
    while status("key-south") != 200 && changed.elapsed() < APPLY_BOUND {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(status("key-south"), 200, "the new key is not accepted after {APPLY_BOUND:?}");

    let (began, sent) = (Instant::now(), link.sent());
    while began.elapsed() < WATCH_TIME {
        let answer = call(&daemon.callers, "GET", &path, KEY, "").expect("the daemon answers");
        assert_eq!(answer.status, 200, "{} after {:?}", answer.body, began.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    let rate = (link.sent() - sent) as f64 / began.elapsed().as_secs_f64();
    assert!(
        rate < NARROW_RATE as f64 * IDLE_SHARE,
        "{rate:.0} bytes a second while nothing changes"
    );
    let answer = call(&daemon.callers, "GET", &path, KEY, "").expect("the daemon answers");
    assert_eq!(answer.body, state_text("completed"));
}
