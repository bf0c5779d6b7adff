//! The open-loop load generator.
//!
//! Requests start at times drawn in advance, whether or not earlier ones have finished, and
//! latency counts from the drawn time: a slow server cannot hide its tail by delaying the
//! generator (coordinated omission).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::time::Instant;

use crate::core::REQUEST_ID_HEADER;
use crate::util::SeededRandom;

/// Significant digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;

/// What load to make.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses that requests go to in turn.
    pub targets: Vec<SocketAddr>,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// What the run measured.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests with a whole answer of their own.
    pub ok: u64,
    /// Requests refused or failed.
    pub failed: u64,
    /// Answers that belonged to another request.
    pub foreign: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile in microseconds.
    pub p999_us: u64,
    /// Answered requests a second.
    pub rate: f64,
}

struct LoadTally {
    latency_us: Histogram<u64>,
    ok: u64,
    failed: u64,
    foreign: u64,
}

enum LoadResult {
    Ok,
    Failed,
    Foreign,
}

/// Makes the load and reports.
///
/// # Errors
///
/// Returns an error if the histogram cannot be made or there is no target.
pub async fn run(settings: &LoadSettings) -> miette::Result<LoadReport> {
    if settings.targets.is_empty() {
        return Err(miette::miette!("no target address"));
    }
    let histogram = Histogram::new(HISTOGRAM_DIGITS).map_err(|error| miette::miette!("{error}"))?;
    let tally =
        Arc::new(Mutex::new(LoadTally { latency_us: histogram, ok: 0, failed: 0, foreign: 0 }));
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut random = SeededRandom::new(settings.seed);
    let started = Instant::now();
    let mut due = started;
    let mut requests = tokio::task::JoinSet::new();
    let mut index = 0;
    while due < started + settings.duration {
        tokio::time::sleep_until(due).await;
        let target = settings.targets[index % settings.targets.len()];
        let request = request_for(settings, target);
        let (client, tally) = (client.clone(), Arc::clone(&tally));
        requests.spawn(async move {
            let result = send(&client, request).await;
            record(&tally, &result, due.elapsed());
        });
        while requests.try_join_next().is_some() {}
        // Exponential gaps make a Poisson arrival process.
        let gap = -(1.0 - random.unit()).ln() / settings.rate;
        due += Duration::from_secs_f64(gap);
        index += 1;
    }
    while requests.join_next().await.is_some() {}
    let elapsed = started.elapsed();
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report(&tally, elapsed))
}

fn report(tally: &LoadTally, elapsed: Duration) -> LoadReport {
    let quantile = |q| tally.latency_us.value_at_quantile(q);
    LoadReport {
        ok: tally.ok,
        failed: tally.failed,
        foreign: tally.foreign,
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        p999_us: quantile(0.999),
        rate: tally.ok as f64 / elapsed.as_secs_f64(),
    }
}

fn request_for(settings: &LoadSettings, target: SocketAddr) -> (String, Request<Full<Bytes>>) {
    let id = uuid::Uuid::now_v7().to_string();
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = settings.method.clone();
    if let Ok(uri) = format!("http://{target}{}", settings.path).parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        request.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    (id, request)
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    (id, request): (String, Request<Full<Bytes>>),
) -> LoadResult {
    let Ok(response) = client.request(request).await else { return LoadResult::Failed };
    let is_success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else { return LoadResult::Failed };
    if !is_success {
        return LoadResult::Failed;
    }
    let body = body.to_bytes();
    let is_own = body.windows(id.len()).any(|window| window == id.as_bytes());
    if is_own { LoadResult::Ok } else { LoadResult::Foreign }
}

fn record(tally: &Mutex<LoadTally>, result: &LoadResult, elapsed: Duration) {
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    match result {
        LoadResult::Ok => tally.ok += 1,
        LoadResult::Failed => tally.failed += 1,
        LoadResult::Foreign => tally.foreign += 1,
    }
    tally.latency_us.saturating_record(elapsed.as_micros() as u64);
}
