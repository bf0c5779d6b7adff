//! One caller: it asks which addresses to use, keeps the answer for its lifetime, and goes to the
//! next address when a connection cannot be opened.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::time::Instant;

use crate::core::{IDEMPOTENCY_KEY_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, RESULT_CODE_HEADER};
use crate::ops::load::settings::{LoadTestClass, LoadTestSettings};
use crate::util::FastMap;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an answer to the question for addresses.
const ADDRESS_QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Lifetime of addresses that were not asked for.
const FIXED_ADDRESS_LIFETIME: Duration = Duration::from_secs(3600);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallOutcome {
    /// A whole answer of its own.
    Answered,
    /// Refused, and it did not run.
    NotRun,
    /// Refused, and it may have run.
    Unknown,
    /// Another answer that is no success.
    Error,
    /// The connection failed, or the answer was cut.
    Broken,
    /// An answer that belongs to another request.
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

/// An answer that is kept for its lifetime.
#[derive(Clone, Debug)]
struct CachedAddresses {
    addresses: Arc<[SocketAddr]>,
    until: Instant,
}

type CallerClient = Client<HttpConnector, Full<Bytes>>;

/// One caller.
#[derive(Debug)]
pub(super) struct SimulatedCaller {
    client: CallerClient,
    index: usize,
    failure_domain: String,
    entries: Vec<SocketAddr>,
    kept: Mutex<FastMap<String, CachedAddresses>>,
}

impl SimulatedCaller {
    pub(super) fn new(settings: &LoadTestSettings, index: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut kept = FastMap::default();
        if !settings.targets.is_empty() {
            let mut addresses = settings.targets.clone();
            addresses.rotate_left(index % settings.targets.len());
            let until = Instant::now() + settings.duration + FIXED_ADDRESS_LIFETIME;
            for class in &settings.classes {
                let answer = CachedAddresses { addresses: addresses.clone().into(), until };
                kept.insert(class.service.clone(), answer);
            }
        }
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            index,
            failure_domain: settings.failure_domains[index % settings.failure_domains.len()]
                .clone(),
            entries: settings.entries.clone(),
            kept: Mutex::new(kept),
        }
    }

    /// Sends one request of `class`. Another address is tried only if no connection could be
    /// opened, which proves that the request did not run.
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
        let kept = self.lock().get(service).cloned();
        if let Some(kept) = &kept
            && kept.until > Instant::now()
        {
            return Arc::clone(&kept.addresses);
        }
        let asked = self.ask(service).await;
        match (asked, kept) {
            (Some(answer), _) => {
                self.lock().insert(service.to_owned(), answer.clone());
                answer.addresses
            }
            // Nobody answers: the last answer is better than none.
            (None, Some(kept)) => kept.addresses,
            (None, None) => Arc::from(self.entries.clone()),
        }
    }

    /// Asks the entries in turn, beginning with this caller's own.
    async fn ask(&self, service: &str) -> Option<CachedAddresses> {
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
            let Ok(body) = response.into_body().collect().await else { continue };
            let answer: Result<AddressResponse, _> = serde_json::from_slice(&body.to_bytes());
            let Ok(answer) = answer else { continue };
            if answer.addresses.is_empty() {
                continue;
            }
            let addresses = answer.addresses.iter().map(|one| one.address).collect();
            let until = Instant::now() + Duration::from_millis(answer.lifetime_ms);
            return Some(CachedAddresses { addresses, until });
        }
        None
    }

    /// Moves an address that does not answer to the end of the kept answer.
    fn demote(&self, service: &str, address: SocketAddr) {
        let mut kept = self.lock();
        let Some(answer) = kept.get_mut(service) else { return };
        let mut addresses: Vec<SocketAddr> = answer.addresses.to_vec();
        addresses.retain(|one| *one != address);
        addresses.push(address);
        answer.addresses = addresses.into();
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<String, CachedAddresses>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
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
    let Ok(body) = response.into_body().collect().await else { return CallOutcome::Broken };
    if is_not_run {
        return CallOutcome::NotRun;
    }
    if has_code {
        return CallOutcome::Unknown;
    }
    if status != StatusCode::OK {
        return CallOutcome::Error;
    }
    let body = body.to_bytes();
    let is_own = body.windows(id.len()).any(|window| window == id.as_bytes());
    if is_own { CallOutcome::Answered } else { CallOutcome::Foreign }
}
