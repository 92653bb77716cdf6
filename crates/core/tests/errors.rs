//! Scripts rely on the table of codes in the docs, so it has to list every code.

use bulrushlink_core::Code;

#[test]
fn docs_list_every_code() {
    let table = include_str!("../../../docs/errors.md");
    for code in Code::ALL {
        let row = format!("| {} | {code} |", code.number());
        assert!(table.contains(&row), "docs/errors.md lacks the row {row:?}");
    }
}

/// `Code::try_from` does a binary search over `Code::ALL`, which needs ascending numbers.
#[test]
fn code_numbers_are_unique_and_ascending() {
    let numbers: Vec<_> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}
