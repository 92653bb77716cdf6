use super::*;

/// The page that documents the statuses.
const PAGE: &str = include_str!("../../../../docs/errors.md");

#[test]
fn docs_list_the_http_status_of_every_code() {
    let section =
        PAGE.split("## HTTP statuses").nth(1).expect("the page has a section on HTTP statuses");
    let mut documented = Vec::new();
    for row in section.lines().filter(|line| line.starts_with("| ")).skip(2) {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let status: u16 = cells[1].parse().expect("a status in the first column");
        let codes = cells[2]
            .split(", ")
            .map(|code| code.parse::<u16>().expect("a code in the second column"));
        documented.extend(codes.map(|code| (code, status)));
    }
    documented.sort_unstable();
    let table: Vec<(u16, u16)> =
        Code::ALL.iter().map(|code| (code.number(), http_status(*code))).collect();
    assert_eq!(documented, table);
}
