//! A simulated caller: queries an entry for the addresses of a service, caches them for their
//! lifetime, and fails over to the next address when a connection cannot be opened.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::time::Instant;

use crate::core::{IDEMPOTENCY_KEY_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, RESULT_CODE_HEADER};
use crate::ops::load::settings::{LoadTestClass, LoadTestSettings};
use crate::util::FastMap;
use crate::util::limited_body::{MAX_TOOL_BODY_BYTES, read_limited};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for an entry's response to an address query.
const ADDRESS_QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Lifetime, beyond the length of the run, of addresses that the settings name.
const FIXED_ADDRESS_LIFETIME: Duration = Duration::from_secs(3600);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallOutcome {
    /// A complete response with status 200 whose body carries the request's ID.
    Answered,
    /// Refused with the not-run header: the request did not run.
    NotRun,
    /// Another error response of the entry: the request may have run.
    Unknown,
    /// A status other than 200 from the upstream, or a request that could not be built.
    Error,
    /// No connection could be opened, it failed, or the response was truncated.
    Broken,
    /// A response with status 200 that belongs to another request.
    Foreign,
}

#[derive(Deserialize)]
struct AddressResponse {
    addresses: Vec<EntryAddress>,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
struct EntryAddress {
    address: SocketAddr,
}

/// Addresses of a service, with the time at which they expire.
#[derive(Clone, Debug)]
struct CachedAddresses {
    addresses: Arc<[SocketAddr]>,
    expires_at: Instant,
}

type CallerClient = Client<HttpConnector, Full<Bytes>>;

/// A caller with its own connections and its own cache of addresses.
#[derive(Debug)]
pub(super) struct SimulatedCaller {
    client: CallerClient,
    index: usize,
    failure_domain: String,
    entries: Vec<SocketAddr>,
    cache: Mutex<FastMap<String, CachedAddresses>>,
}

impl SimulatedCaller {
    pub(super) fn new(settings: &LoadTestSettings, index: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut cache = FastMap::default();
        if !settings.targets.is_empty() {
            let mut addresses = settings.targets.clone();
            addresses.rotate_left(index % settings.targets.len());
            let expires_at = Instant::now() + settings.duration + FIXED_ADDRESS_LIFETIME;
            for class in &settings.classes {
                let cached = CachedAddresses { addresses: addresses.clone().into(), expires_at };
                cache.insert(class.service.clone(), cached);
            }
        }
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            index,
            failure_domain: settings.failure_domains[index % settings.failure_domains.len()]
                .clone(),
            entries: settings.entries.clone(),
            cache: Mutex::new(cache),
        }
    }

    /// Sends one request of `class`. The next address is tried only if no connection could be
    /// opened, because only then is it certain that the request did not run.
    pub(super) async fn call(&self, class: &LoadTestClass) -> CallOutcome {
        let addresses = self.addresses_for(&class.service).await;
        let id = uuid::Uuid::now_v7().to_string();
        for address in addresses.iter() {
            let Some(request) = build_request(class, *address, &id) else {
                return CallOutcome::Error;
            };
            match self.client.request(request).await {
                Ok(response) => return classify_response(response, &id).await,
                Err(error) if error.is_connect() => self.demote(&class.service, *address),
                Err(_) => return CallOutcome::Broken,
            }
        }
        CallOutcome::Broken
    }

    async fn addresses_for(&self, service: &str) -> Arc<[SocketAddr]> {
        let cached = self.lock().get(service).cloned();
        if let Some(cached) = &cached
            && cached.expires_at > Instant::now()
        {
            return Arc::clone(&cached.addresses);
        }
        let queried = self.query_addresses(service).await;
        match (queried, cached) {
            (Some(fresh), _) => {
                self.lock().insert(service.to_owned(), fresh.clone());
                fresh.addresses
            }
            // No entry responded: expired addresses are better than none.
            (None, Some(cached)) => cached.addresses,
            (None, None) => Arc::from(self.entries.clone()),
        }
    }

    /// Queries the entries one after another until one responds with at least one address. Callers
    /// start at different entries, so that the queries are spread over them.
    async fn query_addresses(&self, service: &str) -> Option<CachedAddresses> {
        for step in 0..self.entries.len() {
            let entry = self.entries[(self.index + step) % self.entries.len()];
            let domain = &self.failure_domain;
            let uri: Uri = format!(
                "http://{entry}/.heatherfall/addresses?service={service}&failure_domain={domain}"
            )
            .parse()
            .ok()?;
            let Ok(Ok(response)) =
                tokio::time::timeout(ADDRESS_QUERY_TIMEOUT, self.client.get(uri)).await
            else {
                continue;
            };
            let body = read_limited(response.into_body(), MAX_TOOL_BODY_BYTES).await;
            let Ok(body) = body else { continue };
            let parsed: Result<AddressResponse, _> = serde_json::from_slice(&body);
            let Ok(parsed) = parsed else { continue };
            if parsed.addresses.is_empty() {
                continue;
            }
            let addresses = parsed.addresses.iter().map(|record| record.address).collect();
            let expires_at = Instant::now() + Duration::from_millis(parsed.lifetime_ms);
            return Some(CachedAddresses { addresses, expires_at });
        }
        None
    }

    /// Moves an address that refused a connection to the end of the cached addresses.
    fn demote(&self, service: &str, address: SocketAddr) {
        let mut cache = self.lock();
        let Some(cached) = cache.get_mut(service) else { return };
        let mut addresses: Vec<SocketAddr> = cached.addresses.to_vec();
        addresses.retain(|other| *other != address);
        addresses.push(address);
        cached.addresses = addresses.into();
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<String, CachedAddresses>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn build_request(
    class: &LoadTestClass,
    address: SocketAddr,
    id: &str,
) -> Option<Request<Full<Bytes>>> {
    let method: Method = class.method.parse().ok()?;
    let body = if method == Method::GET { Bytes::new() } else { Bytes::from_static(b"{}") };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = format!("http://{address}{}", class.path).parse().ok()?;
    let value = HeaderValue::from_str(id).ok()?;
    if class.keyed {
        request.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, value.clone());
    }
    request.headers_mut().insert(REQUEST_ID_HEADER, value);
    Some(request)
}

async fn classify_response(
    response: http::Response<hyper::body::Incoming>,
    id: &str,
) -> CallOutcome {
    let status = response.status();
    let is_not_run = response.headers().contains_key(NOT_RUN_HEADER);
    let has_code = response.headers().contains_key(RESULT_CODE_HEADER);
    let body = read_limited(response.into_body(), MAX_TOOL_BODY_BYTES).await;
    let Ok(body) = body else { return CallOutcome::Broken };
    if is_not_run {
        return CallOutcome::NotRun;
    }
    if has_code {
        return CallOutcome::Unknown;
    }
    if status != StatusCode::OK {
        return CallOutcome::Error;
    }
    let is_own = body.windows(id.len()).any(|window| window == id.as_bytes());
    if is_own { CallOutcome::Answered } else { CallOutcome::Foreign }
}
