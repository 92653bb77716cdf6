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
fn changes_are_seen_one_lag_later() {
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
