use super::*;

fn host(name: &str) -> Host {
    Host {
        id: name.parse().unwrap(),
        region: "ec-sierra".parse().unwrap(),
        domain: "cuenca".parse().unwrap(),
        rack: "c1".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        accelerators: 8,
        slots: 8,
        leaving: false,
    }
}

#[test]
fn changes_become_visible_after_the_lag() {
    let mut table = HostTable::open(Span(500));
    table.add(host("b"), Moment(0));
    table.add(host("a"), Moment(0));
    assert!(table.handle(Moment(499)).hosts.is_empty());
    table.leave(&"a".parse().unwrap(), Moment(500));
    table.remove(&"b".parse().unwrap(), Moment(600));
    let names = |list: HostList| -> Vec<(String, bool)> {
        list.hosts.into_iter().map(|h| (h.id.to_string(), h.leaving)).collect()
    };
    let before = [("a".to_string(), false), ("b".to_string(), false)];
    assert_eq!(names(table.handle(Moment(999))), before);
    assert_eq!(names(table.handle(Moment(1_100))), [("a".to_string(), true)]);
}

/// A revision that the list doesn't know must be answered with the full list, since changes would
/// be applied to the wrong base.
#[test]
fn changes_after_a_revision_lead_to_the_current_list() {
    let mut table = HostTable::open_at(Span(0), Revision(100));
    table.add(host("a"), Moment(0));
    table.add(host("b"), Moment(0));
    let first = table.handle_after(None, Moment(0));
    assert_eq!((first.since, first.at, first.count), (None, Some(Revision(102)), 2));
    table.leave(&"a".parse().unwrap(), Moment(1));
    table.remove(&"b".parse().unwrap(), Moment(1));
    let changes = table.handle_after(first.at, Moment(1));
    assert_eq!((changes.since, changes.at, changes.count), (first.at, Some(Revision(104)), 1));
    assert!(changes.hosts.len() == 1 && changes.hosts[0].leaving);
    assert_eq!(changes.gone, ["b".parse().unwrap()]);
    let none = table.handle_after(changes.at, Moment(1));
    assert!(none.since == changes.at && none.hosts.is_empty() && none.gone.is_empty());
    for unknown in [Revision(99), Revision(105)] {
        assert_eq!(table.handle_after(Some(unknown), Moment(1)).since, None);
    }
}
