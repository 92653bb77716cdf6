//! The table of codes in the docs is the interface of scripts: it has to list every code.

use bulrushlink_core::Code;

#[test]
fn docs_list_every_code() {
    let table = include_str!("../../../docs/errors.md");
    for code in Code::ALL {
        let row = format!("| {} | {code} |", code.number());
        assert!(table.contains(&row), "docs/errors.md lacks the row {row:?}");
    }
}

#[test]
fn codes_ascend_without_repeats() {
    let numbers: Vec<_> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}
