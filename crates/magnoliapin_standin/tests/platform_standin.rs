//! The platform's service over HTTP.

mod wait;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use magnoliapin_model::ClientToken;
use magnoliapin_model::RowVersion;
use magnoliapin_standin::HttpClient;
use magnoliapin_standin::HttpResponse;
use magnoliapin_standin::PlatformCounts;
use magnoliapin_standin::PlatformHandle;
use magnoliapin_standin::PlatformMode;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::MAX_BODY_BYTES;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;
use wait::wait_until;

const TRANSACTIONS: &str = "/v1/table/transactions";

async fn start() -> (PlatformHandle, HttpClient) {
    let options = PlatformOptions::default().with_seed(7).with_lag(Duration::ZERO);
    let platform = PlatformStandin::start(options).await.expect("a free port");
    let client = HttpClient::new(platform.address());
    (platform, client)
}

async fn counts(client: &mut HttpClient) -> PlatformCounts {
    let response = client.call(Method::GET, "/stand-in/counts").await.expect("a response");
    response.value().expect("counts")
}

async fn set_mode(client: &mut HttpClient, mode: &'static str) -> HttpResponse {
    let body = Bytes::from_static(mode.as_bytes());
    client.send(Method::PUT, "/stand-in/mode", body).await.expect("a response")
}

fn write(token: u128) -> TableTransaction {
    let writes = vec![RowWrite { key: "job/1".to_owned(), value: Some("x".to_owned()) }];
    TableTransaction { token: ClientToken(token), guards: Vec::new(), writes }
}

#[test]
fn lost_response_is_resolved_by_client_token() {
    smol::block_on(async {
        let (_platform, mut client) = start().await;
        set_mode(&mut client, r#"{"mode":"lose_answers"}"#).await;
        let mut lost = 0;
        for token in 0..20 {
            while client.call_with(Method::POST, TRANSACTIONS, &write(token)).await.is_err() {
                lost += 1;
            }
        }
        assert!(lost > 0, "no response was lost");
        set_mode(&mut client, r#"{"mode":"ok"}"#).await;
        let counts = counts(&mut client).await;
        assert_eq!((counts.table.commits, counts.table.row_writes), (20, 20));
        assert_eq!((counts.table.repeats, counts.unanswered), (lost, lost));
        let path = format!("/v1/table/tokens/{}", ClientToken(3));
        let resolved = client.call(Method::GET, &path).await.expect("a response");
        let result = TransactionResult::Committed(vec![RowVersion(4)]);
        assert_eq!(resolved.value::<Option<TransactionResult>>(), Some(Some(result)));
        let path = format!("/v1/table/tokens/{}", ClientToken(99));
        let unknown = client.call(Method::GET, &path).await.expect("a response");
        assert_eq!(&unknown.body[..], b"null");
    });
}

#[test]
fn down_mode_executes_no_calls() {
    smol::block_on(async {
        let (platform, mut client) = start().await;
        set_mode(&mut client, r#"{"mode":"down"}"#).await;
        for _ in 0..3 {
            assert!(client.call_with(Method::POST, TRANSACTIONS, &write(1)).await.is_err());
        }
        assert_eq!(counts(&mut client).await.table.transactions, 0);
        platform.set_mode(PlatformMode::Ok);
        assert!(client.call_with(Method::POST, TRANSACTIONS, &write(1)).await.is_ok());
        let read = TableRead::Keys(vec!["job/1".to_owned()]);
        let rows = client.call_with(Method::POST, "/v1/table/reads", &read).await;
        let rows: Vec<TableRow> = rows.expect("a response").value().expect("rows");
        assert_eq!(rows[0].value, "x");
        platform.stop().await;
        assert!(client.call(Method::GET, "/stand-in/counts").await.is_err());
    });
}

#[test]
fn slow_mode_executes_calls_abandoned_by_client() {
    smol::block_on(async {
        let (platform, mut client) = start().await;
        set_mode(&mut client, r#"{"mode":"slow"}"#).await;
        let state = platform.state();
        let mut caller = HttpClient::new(platform.address());
        let call = async {
            let transaction = write(1);
            caller.call_with(Method::POST, TRANSACTIONS, &transaction).await.is_ok()
        };
        let give_up = async {
            wait_until(|| state.lock().expect("no panic").faults.delayed() == 1).await;
            false
        };
        assert!(!futures_lite::future::or(call, give_up).await);
        drop(caller);
        wait_until(|| state.lock().expect("no panic").table.counts().commits == 1).await;
    });
}

#[test]
fn stored_objects_are_returned_unchanged() {
    smol::block_on(async {
        let (_platform, mut client) = start().await;
        let path = "/v1/objects/photos/pack-1";
        let bytes = Bytes::from(vec![0, 159, 255]);
        client.send(Method::PUT, path, bytes.clone()).await.expect("a response");
        assert_eq!(client.call(Method::GET, path).await.expect("a response").body, bytes);
        client.call(Method::DELETE, path).await.expect("a response");
        let missing = client.call(Method::GET, path).await.expect("a response");
        assert_eq!(missing.status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn invalid_requests_return_json_errors() {
    smol::block_on(async {
        let (_platform, mut client) = start().await;
        let cases = [
            (Method::POST, TRANSACTIONS, Bytes::from_static(b"{"), StatusCode::BAD_REQUEST),
            (Method::GET, TRANSACTIONS, Bytes::new(), StatusCode::METHOD_NOT_ALLOWED),
            (Method::GET, "/v1/tables", Bytes::new(), StatusCode::NOT_FOUND),
            (Method::GET, "/v1/table/tokens/x", Bytes::new(), StatusCode::BAD_REQUEST),
            (
                Method::PUT,
                "/stand-in/mode",
                Bytes::from_static(br#"{"mode":"off"}"#),
                StatusCode::BAD_REQUEST,
            ),
        ];
        for (method, path, body, status) in cases {
            let response = client.send(method, path, body).await.expect("a response");
            assert_eq!(response.status, status);
            let error: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
            assert!(error["error"].is_string());
        }
    });
}

#[test]
fn oversized_body_is_rejected() {
    smol::block_on(async {
        let (_platform, mut client) = start().await;
        let body = Bytes::from(vec![b' '; MAX_BODY_BYTES + 1]);
        let response = client.send(Method::POST, TRANSACTIONS, body).await.expect("a response");
        assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert!(client.call_with(Method::POST, TRANSACTIONS, &write(1)).await.is_ok());
    });
}
