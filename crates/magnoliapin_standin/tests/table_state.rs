//! Guards, versions, tokens and paging of the platform's table.

use magnoliapin_model::ClientToken;
use magnoliapin_model::RowVersion;
use magnoliapin_standin::TableState;
use magnoliapin_standin::MAX_TOKENS;
use magnoliapin_wire::RowGuard;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

fn put(token: u128, key: &str, version: u64, value: Option<&str>) -> TableTransaction {
    TableTransaction {
        token: ClientToken(token),
        guards: vec![RowGuard { key: key.to_owned(), version: RowVersion(version) }],
        writes: vec![RowWrite { key: key.to_owned(), value: value.map(str::to_owned) }],
    }
}

fn committed(version: u64) -> TransactionResult {
    TransactionResult::Committed(vec![RowVersion(version)])
}

fn row(key: &str, version: u64, value: &str) -> TableRow {
    TableRow { key: key.to_owned(), version: RowVersion(version), value: value.to_owned() }
}

#[test]
fn recreated_row_gets_new_version() {
    let mut state = TableState::new();
    assert_eq!(state.transact(&put(1, "a", 0, Some("x"))), committed(1));
    assert_eq!(state.transact(&put(2, "a", 1, None)), committed(0));
    assert_eq!(state.transact(&put(3, "a", 0, Some("y"))), committed(2));
    let conflict = TransactionResult::Conflict(vec![row("a", 2, "y")]);
    assert_eq!(state.transact(&put(4, "a", 1, Some("z"))), conflict);
}

#[test]
fn failed_guard_aborts_all_writes() {
    let mut state = TableState::new();
    let mut transaction = put(1, "a", 0, Some("x"));
    transaction.guards.push(RowGuard { key: "b".to_owned(), version: RowVersion(7) });
    let conflict = TransactionResult::Conflict(vec![row("b", 0, "")]);
    assert_eq!(state.transact(&transaction), conflict);
    assert!(state.read(&TableRead::Keys(vec!["a".to_owned()])).is_empty());
    assert_eq!(state.counts().row_writes, 0);
}

#[test]
fn repeated_token_returns_first_result() {
    let mut state = TableState::new();
    let transaction = put(1, "a", 0, Some("x"));
    assert_eq!(state.transact(&transaction), committed(1));
    assert_eq!(state.transact(&put(2, "a", 1, Some("y"))), committed(2));
    assert_eq!(state.transact(&transaction), committed(1));
    assert_eq!(state.resolve(ClientToken(1)), Some(committed(1)));
    assert_eq!(state.read(&TableRead::Keys(vec!["a".to_owned()])), [row("a", 2, "y")]);
    assert_eq!(state.counts().repeats, 1);
}

#[test]
fn conflict_does_not_consume_token() {
    let mut state = TableState::new();
    state.transact(&put(1, "a", 9, Some("x")));
    assert_eq!(state.resolve(ClientToken(1)), None);
    assert_eq!(state.transact(&put(1, "a", 0, Some("x"))), committed(1));
}

#[test]
fn only_oldest_tokens_are_evicted() {
    let mut state = TableState::new();
    let rounds = MAX_TOKENS as u128 * 2 + 10;
    for token in 0..rounds {
        state.transact(&TableTransaction { token: ClientToken(token), ..Default::default() });
    }
    let first_retained = rounds - MAX_TOKENS as u128;
    assert!((0..first_retained).all(|token| state.resolve(ClientToken(token)).is_none()));
    assert!((first_retained..rounds).all(|token| state.resolve(ClientToken(token)).is_some()));
}

#[test]
fn prefix_reads_are_paginated() {
    let mut state = TableState::new();
    for (token, key) in ["job/b", "job/a", "jobs", "job/c", "apple"].iter().enumerate() {
        state.transact(&put(token as u128, key, 0, Some("x")));
    }
    let mut page = |after: &str| {
        let (prefix, after) = ("job/".to_owned(), after.to_owned());
        let rows = state.read(&TableRead::Prefix { prefix, after, limit: 2 });
        rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
    };
    assert_eq!(page(""), ["job/a", "job/b"]);
    assert_eq!(page("job/b"), ["job/c"]);
    assert!(page("job/c").is_empty());
}
