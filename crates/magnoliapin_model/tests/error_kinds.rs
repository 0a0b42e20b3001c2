//! Snapshot of the HTTP status and the outcome of each error kind.

use std::fmt::Write;

use magnoliapin_model::ErrorKind;

#[test]
fn every_kind_has_a_status_and_an_outcome() {
    let mut table = String::new();
    for kind in ErrorKind::ALL {
        writeln!(table, "{kind:<18} {} {}", kind.status(), kind.outcome()).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn names_match_the_json_form() {
    for kind in ErrorKind::ALL {
        let json = serde_json::to_string(kind).unwrap();
        assert_eq!(json, format!("\"{}\"", kind.name()));
    }
}
