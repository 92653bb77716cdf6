use super::*;

/// The page that scripts are written by.
const PAGE: &str = include_str!("../../../../docs/errors.md");

#[test]
fn the_page_shows_the_status_of_every_code() {
    let section = PAGE.split("## HTTP statuses").nth(1).expect("the page has the section");
    let mut shown = Vec::new();
    for row in section.lines().filter(|line| line.starts_with("| ")).skip(2) {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let status: u16 = cells[1].parse().expect("a status comes first");
        let codes = cells[2].split(", ").map(|code| code.parse::<u16>().expect("a code"));
        shown.extend(codes.map(|code| (code, status)));
    }
    shown.sort_unstable();
    let table: Vec<(u16, u16)> =
        Code::ALL.iter().map(|code| (code.number(), http_status(*code))).collect();
    assert_eq!(shown, table);
}
