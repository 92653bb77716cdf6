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

    /// Reads that list, and returns after which one changes were asked for.
    fn read_list(&mut self, list: HostList) -> Option<Revision> {
        self.read_result(Ok(list)).1
    }

    /// Ticks until the list is read, answers the read, and returns the time that it took.
    fn read(&mut self, result: Result<Vec<Host>, EdgeFault>) -> Span {
        self.read_result(result.map(HostList::whole)).0
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

fn shown(ids: &[&str]) -> Vec<(String, bool)> {
    ids.iter().map(|id| (id.to_string(), false)).collect()
}

#[test]
fn an_outage_of_the_list_changes_nothing_and_is_asked_about_less_often() {
    let mut fixture = Fixture::open();
    let mut list = hosts(&["b", "a"]);
    list.push(host("c", "sur", "r1"));
    fixture.read(Ok(list));
    assert_eq!(fixture.own(), shown(&["a", "b"]));
    assert_eq!(fixture.hosts.all().len(), 3);
    let generation = fixture.hosts.generation();
    let waits: Vec<_> = (0..5).map(|_| fixture.read(Err(EdgeFault::Silent))).collect();
    assert!(waits[4] > Span::from_secs(5), "{waits:?}");
    assert_eq!((fixture.own(), fixture.hosts.generation()), (shown(&["a", "b"]), generation));
}

#[test]
fn a_worker_that_the_list_lost_stays_for_as_long_as_it_answers() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    for _ in 0..60 {
        fixture.read(Ok(hosts(&["a"])));
        fixture.hosts.on_leaving(&id("b"), false, fixture.now);
    }
    assert_eq!(fixture.own(), shown(&["a", "b"]));
    fixture.now += Span::from_secs(46);
    fixture.read(Ok(hosts(&["a"])));
    assert_eq!(fixture.own(), shown(&["a"]));
}

#[test]
fn new_work_stays_away_when_the_worker_or_the_list_says_that_it_leaves() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    fixture.hosts.on_leaving(&id("a"), true, fixture.now);
    assert_eq!(fixture.own()[0], ("a".to_string(), true));
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own()[0], ("a".to_string(), true), "the list lags");
    fixture.hosts.on_leaving(&id("a"), false, fixture.now);
    assert_eq!(fixture.own()[0], ("a".to_string(), false));
    let mut list = hosts(&["a", "b"]);
    list[1].leaving = true;
    fixture.read(Ok(list));
    assert_eq!(fixture.own()[1], ("b".to_string(), true));
}

#[test]
fn a_silent_worker_is_lost_after_its_leases_and_only_where_all_are_heard_of() {
    let mut fixture = Fixture::open();
    fixture.read(Ok(hosts(&["a", "b"])));
    let lapse = fixture.settings.timing.lease + super::LOST_MARGIN;
    fixture.now += lapse + lapse;
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own(), shown(&["a", "b"]), "others may hear of them");
    fixture.hosts.set_hears_all(true, fixture.now);
    fixture.now += lapse;
    fixture.hosts.on_alive(&id("a"), fixture.now);
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own(), shown(&["a", "b"]), "not before the lease and the margin");
    fixture.now += Span::from_secs(2);
    fixture.read(Ok(hosts(&["a", "b"])));
    assert_eq!(fixture.own(), shown(&["a"]));
    assert_eq!(fixture.hosts.known().count(), 2, "a lost worker is still called");
    fixture.hosts.on_alive(&id("b"), fixture.now);
    assert_eq!(fixture.own(), shown(&["a", "b"]));
}

#[test]
fn changes_are_taken_on_top_of_the_list_that_they_are_about() {
    let mut fixture = Fixture::open();
    let whole = HostList { at: Some(Revision(7)), ..HostList::whole(hosts(&["a", "b"])) };
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
    assert_eq!(fixture.own(), shown(&["a", "b", "c"]), "the lost one may still answer");
    let none = HostList {
        at: Some(Revision(9)),
        since: Some(Revision(9)),
        count: 2,
        ..HostList::default()
    };
    assert_eq!(fixture.read_list(none.clone()), Some(Revision(9)));
    assert_eq!(fixture.read_list(none), Some(Revision(9)));
    fixture.now += Span::from_secs(46);
    fixture.hosts.on_alive(&id("b"), fixture.now);
    fixture.read(Ok(hosts(&["b", "c"])));
    assert_eq!(fixture.own(), shown(&["b", "c"]));
}

#[test]
fn changes_of_another_list_or_a_wrong_count_bring_a_whole_one() {
    let mut fixture = Fixture::open();
    let whole = HostList { at: Some(Revision(7)), ..HostList::whole(hosts(&["a", "b"])) };
    let changes = |since, count| HostList {
        at: Some(Revision(9)),
        since: Some(Revision(since)),
        count,
        ..HostList::default()
    };
    fixture.read_list(whole.clone());
    assert_eq!(fixture.read_list(changes(6, 2)), Some(Revision(7)));
    assert_eq!(fixture.read_list(whole), None, "those were changes of another list");
    assert_eq!(fixture.read_list(changes(7, 3)), Some(Revision(7)));
    assert_eq!(fixture.read_list(changes(9, 2)), None, "a worker was missed");
}
