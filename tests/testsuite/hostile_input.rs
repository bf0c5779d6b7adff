//! Arbitrary input from operators, peers and callers: nothing panics, and invalid input is rejected
//! with a result code.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use heatherfall::config::{GenerationApplier, OfferOutcome, check_object};
use heatherfall::core::{CONFIG_KINDS, FailureDomain, LabelSelector, SharedSnapshot, VmId};
use heatherfall::membership::{ControlNode, NodeIdentity, SharedMembership};
use heatherfall::ops::dev::{DevDeployment, DevSettings, ServiceSize};
use heatherfall::ops::node_settings::NodeSettings;
use heatherfall::ops::objects;
use heatherfall::peer::generated::ledger::{ClaimRequest, FinishRequest};
use heatherfall::peer::generated::peer::ExchangeRequest;
use heatherfall::request::{RequestHead, classify};
use heatherfall::util::settings_file;
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use prost::Message;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::TestCaller;

/// Arbitrary JSON of limited depth.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|number| json!(number)),
        ".{0,40}".prop_map(Value::from),
    ];
    let key = prop_oneof![
        Just("requests".to_owned()),
        Just("upstreams".to_owned()),
        Just("address".to_owned()),
        Just("deadline".to_owned()),
        Just("match".to_owned()),
        Just("spec".to_owned()),
        Just("kind".to_owned()),
        "[a-z_]{1,12}",
    ];
    leaf.prop_recursive(4, 64, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..8).prop_map(Value::from),
            prop::collection::btree_map(key.clone(), inner, 0..8).prop_map(Value::from_iter),
        ]
    })
}

fn control_node() -> ControlNode {
    let identity = NodeIdentity {
        vm: VmId::new("entry-1"),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: "192.0.2.1:80".to_owned(),
        peer_address: "192.0.2.1:81".to_owned(),
        incarnation: 1,
    };
    let applier = Arc::new(GenerationApplier::new(SharedSnapshot::default()));
    ControlNode::new(identity, applier, Default::default(), SharedMembership::default())
}

proptest! {
    #[test]
    fn any_selector_text_is_parsed_or_rejected_with_an_offset_within_it(
        text in prop_oneof![".{0,300}", "[a-z0-9=!(), notin]{0,300}"]
    ) {
        if let Err(error) = text.parse::<LabelSelector>() {
            prop_assert!(error.offset <= text.len());
        }
    }

    #[test]
    fn settings_of_any_text_are_rejected_with_a_result_code(text in ".{0,400}") {
        let error = settings_file::parse::<NodeSettings>("node.jsonc", &text);
        let error = error.expect_err("no text of this kind is complete");
        prop_assert!(error.code().number() >= 5000);
    }

    #[test]
    fn settings_of_any_json_are_rejected_with_a_result_code(value in any_json()) {
        let error = settings_file::parse::<NodeSettings>("node.jsonc", &value.to_string());
        let error = error.expect_err("no value of this kind is complete");
        prop_assert!(error.code().number() >= 5000);
    }

    #[test]
    fn objects_of_any_json_are_accepted_or_rejected_with_a_result_code(value in any_json()) {
        for kind in CONFIG_KINDS {
            if let Err(error) = check_object(kind, "any", &value) {
                prop_assert!((2000..3000).contains(&error.code.number()));
                prop_assert!(!error.message.is_empty());
            }
        }
        let _ = objects::parse_manifests(&value.to_string());
    }

    #[test]
    fn generations_of_any_bytes_are_rejected_without_effect(
        bytes in prop::collection::vec(any::<u8>(), 0..400)
    ) {
        let node = control_node();
        let outcome = node.offer(&Bytes::from(bytes));
        let is_rejected = matches!(outcome, OfferOutcome::Rejected { .. });
        prop_assert!(is_rejected, "{:?}", outcome);
        prop_assert_eq!(node.generation_applier().number().0, 0);
    }

    #[test]
    fn peer_messages_of_any_bytes_are_decoded_or_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..400)
    ) {
        let _ = ClaimRequest::decode(&*bytes);
        let _ = FinishRequest::decode(&*bytes);
        let Ok(mut request) = ExchangeRequest::decode(&*bytes) else { return Ok(()) };
        request.wait_ms = 0;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        let node = control_node();
        runtime.block_on(node.handle_exchange(request));
        prop_assert_eq!(node.generation_applier().number().0, 0);
    }

    #[test]
    fn classification_of_any_head_finds_no_route_without_configuration(
        path in "/[ -~]{0,200}", value in prop::collection::vec(any::<u8>(), 0..100)
    ) {
        let Ok(uri) = path.parse::<Uri>() else { return Ok(()) };
        let mut headers = HeaderMap::new();
        if let Ok(value) = http::HeaderValue::from_bytes(&value) {
            headers.insert(http::header::HOST, value);
        }
        let head = RequestHead { method: &Method::GET, uri: &uri, headers: &headers };
        prop_assert!(classify(&Default::default(), head).route.is_none());
    }
}

/// Sends bytes, shuts down the sending side and returns the response.
async fn send_bytes(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("listener accepts");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    response
}

fn is_rejection(response: &[u8]) -> bool {
    response.is_empty()
        || response.starts_with(b"HTTP/1.1 4")
        || response.starts_with(b"HTTP/1.1 5")
        // An HTTP/2 SETTINGS frame, if the bytes began with the connection preface.
        || response.get(3) == Some(&4)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_listener_serves_requests_after_malformed_heads() {
    let settings = DevSettings {
        first_port: 0,
        services: vec![ServiceSize { app: "lookups", targets: 1, slots: 4 }],
        announce: std::time::Duration::ZERO,
    };
    let deployment = DevDeployment::start(&settings).await.expect("deployment starts");
    let entry = deployment.nodes[0].caller_addr();
    let mut malformed: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n\r\n\r\n".to_vec(),
        b"GET /cau-noi/lookup/a HTTP/9.9\r\nhost: x\r\n\r\n".to_vec(),
        b"POST /cau-noi/donations HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n".to_vec(),
        b"POST /cau-noi/donations HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
          content-length: 6\r\n\r\nabcdef"
            .to_vec(),
        b"POST /cau-noi/donations HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\
          ffffffffffffffffff\r\n"
            .to_vec(),
        [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 200 << 10]].concat(),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff".to_vec(),
    ];
    let mut random = heatherfall::util::SeededRandom::new(11);
    for _ in 0..64 {
        let length = random.below(600);
        malformed.push((0..length).map(|_| random.below(256) as u8).collect());
    }
    for bytes in &malformed {
        let response = send_bytes(entry, bytes).await;
        assert!(is_rejection(&response), "{:?}", String::from_utf8_lossy(&response));
    }
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.total_runs()).sum();
    assert_eq!(runs, 0, "a malformed request reached an upstream");
    let valid_response = TestCaller::new().send(entry, Method::GET, "/cau-noi/lookup/a", &[]).await;
    assert!(valid_response.expect("a complete response").status.is_success());
    deployment.stop().await;
}
