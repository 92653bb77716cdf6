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

fn racks(workers: &[&[u8]]) -> Vec<RackCapacity> {
    let rack = |(i, workers): (usize, &&[u8])| RackCapacity {
        rack: format!("r{i}").parse().unwrap(),
        workers: workers.to_vec(),
    };
    workers.iter().enumerate().map(rack).collect()
}

fn fit_result(guarantees: &[(u16, u8, Adjacency, u16)], workers: &[&[u8]]) -> String {
    match share(guarantees).check_fit(&racks(workers)) {
        Ok(()) => "fits".to_string(),
        Err(error) => error.to_string(),
    }
}

/// Sizes that divide each other must fit whenever the total suffices: a packing that leaves
/// unusable remainders would refuse notes that the hardware can serve.
#[test]
fn guarantees_fill_the_hardware_to_the_last_accelerator() {
    let wanted = [
        (2, 8, Adjacency::Rack, 1),
        (2, 4, Adjacency::Worker, 1),
        (3, 2, Adjacency::Domain, 1),
        (2, 1, Adjacency::Domain, 1),
    ];
    assert_eq!(fit_result(&wanted, &[&[8, 8], &[8, 8]]), "fits");
    assert!(fit_result(&wanted, &[&[8, 8], &[8, 7]]).contains("level domain: guarantees need 32"));
}

#[test]
fn the_error_names_the_level_that_lacks_accelerators() {
    let gang = [(3, 8, Adjacency::Rack, 1)];
    let result = fit_result(&gang, &[&[8, 8], &[8, 8]]);
    assert_eq!(
        result,
        "E402: guarantees do not fit the hardware at /domains/cuenca: level rack: no rack is left \
         for 3x8/rack of rosters"
    );
    let whole = [(1, 8, Adjacency::Worker, 1)];
    assert!(fit_result(&whole, &[&[4, 4]]).contains("level worker"));
}

/// Tasks placed anywhere in the domain must not use up the only rack that has room for a rack gang,
/// as they would if guarantees were packed in the order of the note.
#[test]
fn rack_gangs_are_placed_before_smaller_guarantees() {
    let wanted = [(4, 2, Adjacency::Domain, 1), (2, 8, Adjacency::Rack, 1)];
    assert_eq!(fit_result(&wanted, &[&[8, 8], &[8]]), "fits");
}

#[test]
fn tasks_without_accelerators_need_no_hardware() {
    assert_eq!(fit_result(&[(64, 0, Adjacency::Rack, 100)], &[]), "fits");
}
