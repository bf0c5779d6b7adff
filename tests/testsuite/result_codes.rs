//! The table of result codes and its documentation.

use heatherfall::core::ResultCode;
use snapbox::{assert_data_eq, file};

#[test]
fn the_documented_table_matches_the_code() {
    let mut table = String::from("# Result codes\n\n| code | meaning |\n| --- | --- |\n");
    for code in ResultCode::ALL {
        table.push_str(&format!("| {code} | {} |\n", code.summary()));
    }
    assert_data_eq!(table, file!["../../docs/RESULT-CODES.md"].raw());
}

#[test]
fn numbers_are_unique_and_ascending() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} {}", pair[0], pair[1]);
    }
}
