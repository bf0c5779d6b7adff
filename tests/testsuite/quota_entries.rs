//! Quotas of tenants at entries that exchange datagrams on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::core::{HeaderNames, KeyDigest, TenantQuota};
use heatherfall::fleet::codec::{
    DeclaredConfig, DeclaredTenant, DecodeError, DeploymentCodec, DirectoryQuery, PlatformNames,
    RegisteredUpstream,
};
use heatherfall::fleet::entry_node::{self, RunningEntry};
use heatherfall::fleet::entry_settings::EntrySettings;
use heatherfall::platform::ObjectEnvelope;
use heatherfall_standins::platform::StandinPlatform;
use http::HeaderName;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::support::fleet::{TestCodec, put_config, put_upstream};
use crate::support::{RawResponse, RawUpstream, send_raw};

const ENTRIES: usize = 3;
/// First of the five ports of an entry.
const FIRST_PORT: u16 = 7101;
/// Longest time until each entry has served a request.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests of the limited tenant in any 5 s: 5 a second, 2 at once, overage 0.1 and slack 5.
const BOUND: f64 = (5.0 * 5.0 + 2.0) * 1.1 + 5.0;
/// Time for which the limited tenant sends.
const SENDING_TIME: Duration = Duration::from_secs(7);

/// The codec of other tests, with two tenants and an upstream on loopback.
#[derive(Clone, Copy, Debug)]
struct TenantCodec {
    upstream: SocketAddr,
}

impl DeploymentCodec for TenantCodec {
    fn names(&self) -> PlatformNames {
        TestCodec.names()
    }

    fn config(&self, object: &ObjectEnvelope) -> Result<DeclaredConfig, DecodeError> {
        let declared = |name: &str, quota| DeclaredTenant {
            name: name.to_owned(),
            keys: vec![KeyDigest::of(name.as_bytes())],
            rank: None,
            quota,
            allowed_regions: Vec::new(),
        };
        let quota = TenantQuota { per_second: 5.0, burst: 2.0 };
        let tenants = vec![declared("limited", Some(quota)), declared("unlimited", None)];
        Ok(DeclaredConfig { tenants: Some(tenants), ..TestCodec.config(object)? })
    }

    fn upstream(&self, object: &ObjectEnvelope) -> Result<RegisteredUpstream, DecodeError> {
        Ok(RegisteredUpstream { address: self.upstream, ..TestCodec.upstream(object)? })
    }

    fn directory_query(&self, query: &str) -> DirectoryQuery {
        TestCodec.directory_query(query)
    }

    fn directory_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes {
        TestCodec.directory_response(addresses, lifetime)
    }
}

/// Address of an entry. Each test process uses loopback IPs of its own, apart from those of entries
/// as separate processes, so that no other listener can occupy the port.
fn entry_address(entry: usize, port: u16) -> SocketAddr {
    let process = std::process::id();
    let (high, low) = (193 + (process >> 8) % 60, process % 256);
    SocketAddr::from(([127, high as u8, low as u8, entry as u8 + 1], FIRST_PORT + port))
}

async fn start_entry(
    index: usize,
    store: &StandinPlatform,
    codec: TenantCodec,
) -> RunningEntry<TenantCodec> {
    let address = |port: u16| entry_address(index, port).to_string();
    let settings = json!({
        "vm": format!("entry-{index}"), "failure_domain": "fd-a", "regions": { "fd-a": "r" },
        "listen": { "callers": address(0), "ready": address(1), "directory": address(2),
                    "control": address(3), "peers": address(4) },
        "store": "127.0.0.1:1",
        "repeats": { "ratio": 0.2, "extra": 20.0, "window": "10s" },
        "quota": { "window": "5s", "overage": 0.1, "slack": 5.0 },
    });
    let settings: EntrySettings = serde_json::from_value(settings).expect("valid");
    let headers = HeaderNames {
        api_key: Some(HeaderName::from_static("api-key")),
        tenant: Some(HeaderName::from_static("x-tenant")),
        ..HeaderNames::default()
    };
    let store = Arc::new(store.clone());
    entry_node::start(settings, store, codec, headers).await.expect("entry starts")
}

async fn call(entry: usize, tenant: &str) -> String {
    let request = format!(
        "GET /read HTTP/1.1\r\nhost: reads.example\r\napi-key: {tenant}\r\nconnection: close\r\n\r\n"
    );
    send_raw(entry_address(entry, 0), &request).await
}

async fn wait_until_served(entry: usize, tenant: &str) {
    let began = Instant::now();
    loop {
        let response = call(entry, tenant).await;
        if response.starts_with("HTTP/1.1 200") {
            return;
        }
        assert!(began.elapsed() < START_TIMEOUT, "entry {entry}, {tenant}: {response}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against entries that do not exchange permits: each enforces a quota of its own, or refuses
/// what the others would grant. Also against limits on a tenant that has no quota.
#[tokio::test]
async fn entries_share_the_quota_of_a_tenant() {
    let response = RawResponse::keep_alive("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    let upstream = RawUpstream::start(vec![response]).await;
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    put_upstream(&store, "upstream-1").await;
    let codec = TenantCodec { upstream: upstream.addr };
    let mut entries = Vec::new();
    for index in 0..ENTRIES {
        entries.push(start_entry(index, &store, codec).await);
    }
    for entry in 0..ENTRIES {
        wait_until_served(entry, "unlimited").await;
        wait_until_served(entry, "limited").await;
    }
    let count_runs = || {
        let requests = upstream.requests();
        requests.iter().filter(|request| request.contains("x-tenant: limited")).count()
    };
    let (first, began) = (count_runs(), Instant::now());
    let (mut served, mut refused) = ([0; ENTRIES], 0);
    let mut turn = 0;
    while began.elapsed() < SENDING_TIME {
        let entry = turn % ENTRIES;
        turn += 1;
        let response = call(entry, "limited").await;
        if response.starts_with("HTTP/1.1 429") {
            refused += 1;
            assert!(response.contains("HF-1031"), "{response}");
            assert!(response.contains("retry-after: ") && response.contains('.'), "{response}");
        } else {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            served[entry] += 1;
        }
        let unlimited = call(entry, "unlimited").await;
        assert!(unlimited.starts_with("HTTP/1.1 200"), "{unlimited}");
        sleep(Duration::from_millis(10)).await;
    }
    let ran = count_runs() - first;
    let windows = (began.elapsed().as_secs_f64() / 5.0).ceil();
    println!("served {served:?} refused {refused} ran {ran} in {:?}", began.elapsed());
    assert!(ran as f64 <= BOUND * windows, "{ran} ran in {windows} windows of {BOUND}");
    assert!(refused > 0, "the tenant sends more than its quota");
    // The entries grant a third of the quota each, and callers use all entries alike.
    assert!(served.iter().all(|count| *count > 0), "{served:?}");
    for entry in entries {
        entry.shut_down().await;
    }
}
