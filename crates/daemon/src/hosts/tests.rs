use bulrushlink_api::{EdgeFault, Host, HostList, Revision};
use bulrushlink_core::{Moment, Span, WorkerId};

use super::Hosts;
use crate::edge::{Context, Outbox, Output};
use crate::node::tests::net::{host, settings};
use crate::settings::Settings;

struct Fixture {
    hosts: Hosts,
    settings: Settings,
    now: Moment,
    out: Outbox,
}

impl Fixture {
    fn open() -> Self {
        let settings = settings("norte-0", &[("norte", 1), ("sur", 1)]);
        let now = Moment(1000);
        let hosts = Hosts::open(&settings, now, 1);
        Self { hosts, settings, now, out: Outbox::default() }
    }

    /// Answers the next read with `list`; returns the revision after which the read requested
    /// changes, `None` if it requested a full list.
    fn read_list(&mut self, list: HostList) -> Option<Revision> {
        self.read_result(Ok(list)).1
    }

    /// Answers the next read with `result`; returns the time until that read was sent.
    fn read(&mut self, result: Result<Vec<Host>, EdgeFault>) -> Span {
        self.read_result(result.map(HostList::full)).0
    }

    fn read_result(&mut self, result: Result<HostList, EdgeFault>) -> (Span, Option<Revision>) {
        let from = self.now;
        loop {
            let (now, settings) = (self.now, &self.settings);
            let mut cx = Context { now, wall: 0, may_start: true, settings, out: &mut self.out };
            self.hosts.tick(&mut cx);
            if let Some(Output::Hosts(call, after)) = cx.out.take().pop() {
                self.hosts.on_hosts(call, result, &mut cx);
                return (self.now.since(from), after);
            }
            self.now += Span(100);
        }
    }

    fn own(&self) -> Vec<(String, bool)> {
        let own = self.hosts.own().iter();
        own.map(|host| (host.id.to_string(), host.leaving)).collect()
    }
}

fn id(text: &str) -> WorkerId {
    text.parse().unwrap()
}

fn hosts(ids: &[&str]) -> Vec<Host> {
    ids.iter().map(|id| host(id, "norte", "r1")).collect()
}

/// Returns what `Fixture::own` returns for workers that are not leaving.
fn not_leaving(ids: &[&str]) -> Vec<(String, bool)> {
    ids.iter().map(|id| (id.to_string(), false)).collect()
}

/// Guards against an outage of the platform's host list that makes the workers disappear, or that
/// is met with reads at the full rate.
#[test]
fn host_list_outage_changes_nothing_and_is_backed_off() {
    let mut fixture = Fixture::open();
    let mut list = hosts(&["b", "a"]);
    list.push(host("c", "sur", "r1"));
    fixture.read(Ok(list));
    assert_eq!(fixture.own(), not_leaving(&["a", "b"]));
    assert_eq!(fixture.hosts.all().len(), 3);
    let generation = fixture.hosts.generation();
    let waits: Vec<_> = (0..5).map(|_| fixture.read(Err(EdgeFault::Silent))).collect();
    assert!(waits[4] > Span::from_secs(5), "{waits:?}");
    assert_eq!((fixture.own(), fixture.hosts.generation()), (not_leaving(&["a", "b"]), generation));
}

/// Guards against losing the tasks of a live worker that the lagging host list has dropped.
#[test]
fn unlisted_worker_is_kept_while_it_replies() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    for _ in 0..60 {
        fixture.read(Ok(hosts(&["a"])));
        fixture.hosts.on_worker_reply(&id("b"), false, fixture.now);
    }
    assert_eq!(fixture.own(), not_leaving(&["a", "b"]));
    // 1 s past the lease of 30 s and the margin of 15 s.
    fixture.now += Span::from_secs(46);
    fixture.read(Ok(hosts(&["a"])));
    assert_eq!(fixture.own(), not_leaving(&["a"]));
}

/// Guards against new work on a leaving worker, when the host list lags behind the worker or the
/// worker does not know yet.
#[test]
fn worker_is_leaving_if_itself_or_list_says_so() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    fixture.hosts.on_worker_reply(&id("a"), true, fixture.now);
    assert_eq!(fixture.own()[0], ("a".to_string(), true));
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own()[0], ("a".to_string(), true), "the list lags");
    fixture.hosts.on_worker_reply(&id("a"), false, fixture.now);
    assert_eq!(fixture.own()[0], ("a".to_string(), false));
    let mut list = hosts(&["a", "b"]);
    list[1].leaving = true;
    fixture.read(Ok(list));
    assert_eq!(fixture.own()[1], ("b".to_string(), true));
}

/// Guards against declaring a worker lost while its leases may still be valid, or only because
/// another daemon is the one that receives its signs of life.
#[test]
fn silent_worker_is_lost_after_lease_if_all_are_heard() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    let lost_after = fixture.settings.timing.lease + super::LOST_MARGIN;
    fixture.now += lost_after + lost_after;
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(
        fixture.own(),
        not_leaving(&["a", "b"]),
        "another daemon may receive their signs of life"
    );
    fixture.hosts.set_receives_all(true, fixture.now);
    fixture.now += lost_after;
    fixture.hosts.on_worker_seen(&id("a"), fixture.now);
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(
        fixture.own(),
        not_leaving(&["a", "b"]),
        "not lost before the lease and the margin have passed"
    );
    fixture.now += Span::from_secs(2);
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own(), not_leaving(&["a"]));
    assert_eq!(fixture.hosts.known().count(), 2, "a lost worker is still called");
    fixture.hosts.on_worker_seen(&id("b"), fixture.now);
    assert_eq!(fixture.own(), not_leaving(&["a", "b"]));
}

/// Guards against an incremental read that replaces the list instead of updating it, or that drops
/// an unlisted worker which still replies.
#[test]
fn changes_apply_to_the_list_they_are_relative_to() {
    let mut fixture = Fixture::open();
    let whole = HostList { at: Some(Revision(7)), ..HostList::full(hosts(&["a", "b"])) };
    assert_eq!(fixture.read_list(whole), None);
    let changes = HostList {
        at: Some(Revision(9)),
        since: Some(Revision(7)),
        gone: vec![id("a")],
        count: 2,
        hosts: hosts(&["c"]),
    };
    assert_eq!(fixture.read_list(changes), Some(Revision(7)));
    let all: Vec<_> = fixture.hosts.all().iter().map(|host| host.id.to_string()).collect();
    assert_eq!(all, ["b", "c"]);
    assert_eq!(fixture.own(), not_leaving(&["a", "b", "c"]), "the unlisted one may still reply");
    let none = HostList {
        at: Some(Revision(9)),
        since: Some(Revision(9)),
        count: 2,
        ..HostList::default()
    };
    assert_eq!(fixture.read_list(none.clone()), Some(Revision(9)));
    assert_eq!(fixture.read_list(none), Some(Revision(9)));
    // 1 s past the lease of 30 s and the margin of 15 s.
    fixture.now += Span::from_secs(46);
    fixture.hosts.on_worker_seen(&id("b"), fixture.now);
    fixture.read(Ok(hosts(&["b", "c"])));
    assert_eq!(fixture.own(), not_leaving(&["b", "c"]));
}

/// Guards against a list that stays wrong after a missed change: changes relative to another
/// revision, or a wrong number of workers, must lead to a full read.
#[test]
fn mismatched_changes_lead_to_full_read() {
    let mut fixture = Fixture::open();
    let whole = HostList { at: Some(Revision(7)), ..HostList::full(hosts(&["a", "b"])) };
    let changes = |since, count| HostList {
        at: Some(Revision(9)),
        since: Some(Revision(since)),
        count,
        ..HostList::default()
    };
    fixture.read_list(whole.clone());
    assert_eq!(fixture.read_list(changes(6, 2)), Some(Revision(7)));
    assert_eq!(fixture.read_list(whole), None, "the changes were relative to another list");
    assert_eq!(fixture.read_list(changes(7, 3)), Some(Revision(7)));
    assert_eq!(fixture.read_list(changes(9, 2)), None, "the number of workers did not match");
}

/// One odd host, such as one with a port out of range, made the whole list unreadable: the daemon followed
/// the list no more.
#[test]
fn odd_host_leaves_the_others_of_the_list() {
    let good = serde_json::to_string(&hosts(&["a", "b"])).unwrap();
    let host = |field: &str, value: &str| {
        let host = serde_json::to_string(&host("c", "norte", "r1")).unwrap();
        let at = host.find(&format!("\"{field}\":")).expect("a field of a host");
        format!("{}\"{field}\":{value},\"was\"{}", &host[..at], &host[at + field.len() + 2..])
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        host("addr", r#""10.0.0.1:70000""#),
        host("addr", r#""""#),
        host("accelerators", "1e400"),
        host("slots", "-1"),
        host("id", r#""no id""#),
        host("rack", &nested),
        nested.clone(),
        "null".to_string(),
    ];
    for odd in odd {
        let text = format!("{{\"hosts\":[{odd},{}]}}", good.trim_matches(['[', ']']));
        let list: HostList = serde_json::from_str(&text).expect("a list");
        let mut fixture = Fixture::open();
        fixture.read_list(list);
        assert_eq!(fixture.own(), not_leaving(&["a", "b"]), "{}", &odd[..odd.len().min(300)]);
    }
}
