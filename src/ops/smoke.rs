//! Smoke test: sends one request of every class through the entry nodes and checks the responses.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use miette::{IntoDiagnostic, miette};
use serde_json::Value;

use crate::core::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use crate::ops::dev::DevDeployment;
use crate::util::limited_body::{MAX_TOOL_BODY_BYTES, read_limited};

/// One request of the smoke test.
struct SmokeCase {
    class: &'static str,
    method: Method,
    path: &'static str,
    /// Label `app` of the service that has to respond; its upstreams' names begin with it.
    app: &'static str,
}

const CASES: [SmokeCase; 9] = [
    case("lookup", Method::GET, "/cau-noi/lookup/where-is-the-market", "lookups"),
    case("audio", Method::GET, "/cau-noi/audio/hello.ogg", "audio"),
    case("pack", Method::GET, "/cau-noi/packs/hanoi", "packs"),
    case("purchase", Method::POST, "/cau-noi/packs/hanoi", "packs"),
    case("donation", Method::POST, "/cau-noi/donations", "donations"),
    case("clone", Method::GET, "/kitabghar/repos/algebra", "repo-reads"),
    case("push", Method::POST, "/kitabghar/repos/algebra", "pushes"),
    case("grade", Method::POST, "/kitabghar/grades/7", "gradebook"),
    case("exam release", Method::GET, "/kitabghar/exams/maths", "exam-release"),
];

const fn case(
    class: &'static str,
    method: Method,
    path: &'static str,
    app: &'static str,
) -> SmokeCase {
    SmokeCase { class, method, path, app }
}

/// Result of the smoke test.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SmokeReport {
    /// Requests with the expected response.
    pub passed: usize,
    /// Requests with a wrong response or none.
    pub failed: usize,
}

type SmokeClient = Client<HttpConnector, Full<Bytes>>;

/// Runs the smoke test against a running deployment; prints one line for each request.
///
/// # Errors
///
/// Returns an error if the entry addresses of a service cannot be fetched.
pub async fn run(deployment: &DevDeployment) -> miette::Result<SmokeReport> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let first = deployment.nodes.first().ok_or_else(|| miette!("no entry node"))?;
    let mut report = SmokeReport::default();
    for (index, case) in CASES.iter().enumerate() {
        let addresses = fetch_addresses(&client, first.caller_addr(), case.app).await?;
        let address = addresses[index % addresses.len()];
        match check_case(&client, deployment, address, case).await {
            Ok(line) => {
                report.passed += 1;
                println!("ok     {:<12} via {address} {line}", case.class);
            }
            Err(error) => {
                report.failed += 1;
                println!("FAILED {:<12} via {address} {error}", case.class);
            }
        }
    }
    Ok(report)
}

async fn fetch_addresses(
    client: &SmokeClient,
    entry: SocketAddr,
    service: &str,
) -> miette::Result<Vec<SocketAddr>> {
    let uri = format!("http://{entry}/.heatherfall/addresses?service={service}");
    let response = client.get(uri.parse().into_diagnostic()?).await.into_diagnostic()?;
    let body = read_json(response).await?;
    let mut addresses = Vec::new();
    for entry in body["addresses"].as_array().into_iter().flatten() {
        let text = entry["address"].as_str().unwrap_or_default();
        addresses.push(text.parse().into_diagnostic()?);
    }
    if addresses.is_empty() {
        return Err(miette!("address response lists no entry: {body}"));
    }
    Ok(addresses)
}

async fn check_case(
    client: &SmokeClient,
    deployment: &DevDeployment,
    address: SocketAddr,
    case: &SmokeCase,
) -> miette::Result<String> {
    let id = uuid::Uuid::now_v7().to_string();
    let mut builder = Request::builder()
        .method(case.method.clone())
        .uri(format!("http://{address}{}", case.path))
        .header(REQUEST_ID_HEADER, &id);
    if case.method == Method::POST {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, uuid::Uuid::now_v7().to_string());
    }
    let request = builder.body(Full::new(Bytes::from_static(b"{}"))).into_diagnostic()?;
    let response = client.request(request).await.into_diagnostic()?;
    if !response.status().is_success() {
        return Err(miette!("response status {}", response.status()));
    }
    let body = read_json(response).await?;
    let upstream = body["upstream"].as_str().unwrap_or_default();
    if body["request_id"] != id.as_str() {
        return Err(miette!("response to another request than {id}: {body}"));
    }
    if !upstream.starts_with(case.app) {
        return Err(miette!("response from {upstream}, expected an upstream of {}", case.app));
    }
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.runs_of(&id)).sum();
    if runs != 1 {
        return Err(miette!("request ran {runs} times, expected once"));
    }
    Ok(format!("by {upstream}"))
}

async fn read_json(response: Response<Incoming>) -> miette::Result<Value> {
    let body = read_limited(response.into_body(), MAX_TOOL_BODY_BYTES).await.into_diagnostic()?;
    serde_json::from_slice(&body).into_diagnostic()
}
