use super::*;
use crate::ids::NoteVersion;
use crate::note::Service;

fn share(guarantees: &[(u16, u8, Adjacency, u16)]) -> DomainShare {
    let shape = |(tasks, accelerators, adjacency, count): &(u16, u8, Adjacency, u16)| {
        (Shape { tasks: *tasks, accelerators: *accelerators, adjacency: *adjacency }, *count)
    };
    let workspace = WorkspaceShare {
        id: "rosters".parse().unwrap(),
        guarantees: guarantees.iter().map(shape).collect(),
        queue: 10,
    };
    DomainShare {
        version: NoteVersion(1),
        domain: "cuenca".parse().unwrap(),
        service: Service::In,
        workspaces: vec![workspace],
    }
}

fn racks(workers: &[&[u8]]) -> Vec<RackStock> {
    let rack = |(i, workers): (usize, &&[u8])| RackStock {
        rack: format!("r{i}").parse().unwrap(),
        workers: workers.to_vec(),
    };
    workers.iter().enumerate().map(rack).collect()
}

fn text(guarantees: &[(u16, u8, Adjacency, u16)], stock: &[&[u8]]) -> String {
    match share(guarantees).fit(&racks(stock)) {
        Ok(()) => "fits".to_string(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn guarantees_fill_the_hardware_to_the_last_accelerator() {
    let wanted = [
        (2, 8, Adjacency::Rack, 1),
        (2, 4, Adjacency::Worker, 1),
        (3, 2, Adjacency::Domain, 1),
        (2, 1, Adjacency::Domain, 1),
    ];
    assert_eq!(text(&wanted, &[&[8, 8], &[8, 8]]), "fits");
    assert!(text(&wanted, &[&[8, 8], &[8, 7]]).contains("level domain: guarantees need 32"));
}

#[test]
fn the_level_that_falls_short_is_named() {
    let gang = [(3, 8, Adjacency::Rack, 1)];
    let answer = text(&gang, &[&[8, 8], &[8, 8]]);
    assert_eq!(
        answer,
        "E402: guarantees do not fit the hardware at /domains/cuenca: level rack: no rack is left \
         for 3x8/rack of rosters"
    );
    let whole = [(1, 8, Adjacency::Worker, 1)];
    assert!(text(&whole, &[&[4, 4]]).contains("level worker"));
}

#[test]
fn a_rack_is_not_split_by_smaller_guarantees() {
    let wanted = [(4, 2, Adjacency::Domain, 1), (2, 8, Adjacency::Rack, 1)];
    assert_eq!(text(&wanted, &[&[8, 8], &[8]]), "fits");
}

#[test]
fn tasks_without_accelerators_need_no_hardware() {
    assert_eq!(text(&[(64, 0, Adjacency::Rack, 100)], &[]), "fits");
}
