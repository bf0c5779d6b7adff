//! Benchmark of the request path: the latency that an entry adds to a call, and the processor time
//! that a call costs it.
//!
//! Upstream stand-ins with a service time of zero, one entry node and the callers run in one
//! process, each group on threads of its own. In the latency phase, callers alternate between a
//! call straight to an upstream and one through the entry, so that both are measured under the same
//! conditions. In the throughput phase, callers send calls through the entry back to back.
//! Processor time is that of the entry's threads alone.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use heatherfall_standins::ServerHandle;
use heatherfall_standins::platform::{self, StandinPlatform};
use heatherfall_standins::upstream::{self, StandinUpstream, UpstreamBehaviour};
use http::Request;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use miette::{IntoDiagnostic, miette};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::ObjectKind;
use crate::ops::node::{self, RunningNode};
use crate::ops::node_settings::{
    ListenSettings, LogSettings, NodeSettings, PeerSettings, PlatformSettings,
};
use crate::ops::objects::{self, ObjectManifest};
use crate::peer::PeerKeys;
use crate::platform::{VmRecord, VmState};
use crate::util::SeededRandom;
use crate::util::limited_body::{MAX_TOOL_BODY_BYTES, discard_limited};

/// Routes and other objects of both users, without upstreams.
const SAMPLE_OBJECTS: &str = include_str!("../../examples/both-users.jsonc");
/// Key for peer calls, which an entry needs to start; there are no peers here.
const PEER_KEY: &str = "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Path of the measured calls, which the sample objects route to the `lookups` upstreams.
const CALL_PATH: &str = "/cau-noi/lookup/hello";
/// Name of the entry's threads, by which their processor time is found.
const ENTRY_THREAD_NAME: &str = "entry";
/// Clock ticks per second in `/proc` (USER_HZ).
const TICKS_PER_SEC: f64 = 100.0;
/// Number of upstream stand-ins.
const UPSTREAM_COUNT: usize = 17;
/// Longest latency that the histograms record, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Longest time for the entry to become ready and see itself in the VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the benchmark.
#[derive(Clone, Debug)]
pub struct PathBenchSettings {
    /// Concurrent callers, each with a connection to an upstream and one to the entry.
    pub callers: usize,
    /// Mean time that a caller waits before each call of the latency phase; the times are
    /// exponentially distributed.
    pub pause: Duration,
    /// Length of each of the two phases.
    pub duration: Duration,
    /// Worker threads of the entry; upstreams and callers have twice as many each.
    pub entry_threads: usize,
    /// Seed of the waiting times.
    pub seed: u64,
}

/// Result of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct PathBenchReport {
    /// Pairs of a direct call and one through the entry, both successful, in the latency phase.
    pub calls: u64,
    /// Pairs of the latency phase in which a call failed, and failed calls of the throughput phase.
    pub failed: u64,
    /// Median latency of direct calls in microseconds.
    pub direct_p50_us: u64,
    /// 99th percentile of the latency of direct calls in microseconds.
    pub direct_p99_us: u64,
    /// Median latency through the entry in microseconds.
    pub through_p50_us: u64,
    /// 99th percentile of the latency through the entry in microseconds.
    pub through_p99_us: u64,
    /// Successful calls per second in the throughput phase.
    pub calls_per_sec: f64,
    /// Successful calls of the throughput phase per second of the entry's processor time.
    pub calls_per_core_sec: f64,
}

#[derive(Debug)]
struct LatencyRecorder {
    direct_us: Histogram<u64>,
    through_us: Histogram<u64>,
    failed: u64,
}

impl LatencyRecorder {
    fn new() -> miette::Result<Self> {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_US, 3).into_diagnostic();
        Ok(Self { direct_us: histogram()?, through_us: histogram()?, failed: 0 })
    }
}

/// Runs the latency phase and then the throughput phase.
///
/// # Errors
///
/// Returns an error if a server, runtime or connection cannot be started, or the entry does not
/// become ready in time.
pub fn run(settings: &PathBenchSettings) -> miette::Result<PathBenchReport> {
    let upstream_runtime = runtime("upstream", settings.entry_threads * 2)?;
    let entry_runtime = runtime(ENTRY_THREAD_NAME, settings.entry_threads)?;
    let caller_runtime = runtime("caller", settings.entry_threads * 2)?;
    let platform = StandinPlatform::default();
    let servers = upstream_runtime.block_on(start_upstreams(&platform))?;
    let upstreams: Vec<SocketAddr> = servers.iter().map(ServerHandle::addr).collect();
    let api = upstream_runtime.block_on(platform::serve(platform.clone(), loopback()));
    let api = api.into_diagnostic()?;
    let node = entry_runtime.block_on(entry_runtime.spawn(start_entry(platform, api.addr())));
    let node = node.into_diagnostic()??;
    let entry = node.caller_addr();
    let latencies = caller_runtime.block_on(measure_latency(settings, &upstreams, entry))?;
    let cpu_secs_before = entry_cpu_secs();
    let started = std::time::Instant::now();
    let (calls, failed) = caller_runtime.block_on(measure_throughput(settings, entry))?;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_secs = entry_cpu_secs() - cpu_secs_before;
    Ok(PathBenchReport {
        calls: latencies.direct_us.len(),
        failed: latencies.failed + failed,
        direct_p50_us: latencies.direct_us.value_at_quantile(0.5),
        direct_p99_us: latencies.direct_us.value_at_quantile(0.99),
        through_p50_us: latencies.through_us.value_at_quantile(0.5),
        through_p99_us: latencies.through_us.value_at_quantile(0.99),
        calls_per_sec: calls as f64 / elapsed,
        calls_per_core_sec: calls as f64 / cpu_secs,
    })
}

fn runtime(name: &str, threads: usize) -> miette::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name(name).enable_all().build().into_diagnostic()
}

async fn start_upstreams(platform: &StandinPlatform) -> miette::Result<Vec<ServerHandle>> {
    for manifest in objects::parse_manifests(SAMPLE_OBJECTS)? {
        objects::apply(platform, manifest).await?;
    }
    let mut servers = Vec::new();
    for index in 0..UPSTREAM_COUNT {
        let name = format!("lookups-{index}");
        let behaviour =
            UpstreamBehaviour { service_time: Duration::ZERO, ..UpstreamBehaviour::default() };
        let standin = StandinUpstream::new(&name, behaviour);
        let server = upstream::serve(standin, loopback()).await.into_diagnostic()?;
        let spec = json!({ "address": server.addr().to_string(), "failure_domain": "fd-a" });
        let labels = [("app".to_owned(), "lookups".to_owned())].into();
        let manifest = ObjectManifest { kind: ObjectKind::Upstream, name, labels, spec };
        objects::apply(platform, manifest).await?;
        servers.push(server);
    }
    Ok(servers)
}

async fn start_entry(platform: StandinPlatform, api: SocketAddr) -> miette::Result<RunningNode> {
    let settings = NodeSettings {
        vm: "entry-1".to_owned(),
        failure_domain: "fd-a".to_owned(),
        listen: ListenSettings { callers: loopback(), admin: loopback(), peers: loopback() },
        platform: PlatformSettings { address: api, timeout: Duration::from_secs(2) },
        peers: PeerSettings::default(),
        ledger: Default::default(),
        limits: Default::default(),
        log: LogSettings::default(),
        shutdown: Default::default(),
    };
    let keys = PeerKeys::parse(PEER_KEY).into_diagnostic()?;
    let node = node::start_with_keys(settings, Arc::new(platform.clone()), keys).await?;
    platform.put_vm(VmRecord {
        id: "entry-1".to_owned(),
        address: node.caller_addr().to_string(),
        peer_address: node.peer_addr().to_string(),
        failure_domain: "fd-a".to_owned(),
        state: VmState::Live,
    });
    let deadline = Instant::now() + READY_TIMEOUT;
    while !node.is_ready() || node.known_entries() == 0 {
        if Instant::now() > deadline {
            return Err(miette!("entry did not become ready within {READY_TIMEOUT:?}"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(node)
}

async fn measure_latency(
    settings: &PathBenchSettings,
    upstreams: &[SocketAddr],
    entry: SocketAddr,
) -> miette::Result<LatencyRecorder> {
    let mut callers = JoinSet::new();
    for index in 0..settings.callers {
        let upstream = upstreams[index % upstreams.len()];
        callers.spawn(alternate_calls(settings.clone(), index as u64, upstream, entry));
    }
    let mut total = LatencyRecorder::new()?;
    while let Some(recorder) = callers.join_next().await {
        let recorder = recorder.into_diagnostic()??;
        total.direct_us.add(&recorder.direct_us).into_diagnostic()?;
        total.through_us.add(&recorder.through_us).into_diagnostic()?;
        total.failed += recorder.failed;
    }
    Ok(total)
}

async fn alternate_calls(
    settings: PathBenchSettings,
    index: u64,
    upstream: SocketAddr,
    entry: SocketAddr,
) -> miette::Result<LatencyRecorder> {
    let mut random = SeededRandom::new(settings.seed + index);
    let mut direct = connect(upstream).await?;
    let mut through = connect(entry).await?;
    let mut recorder = LatencyRecorder::new()?;
    let end = Instant::now() + settings.duration;
    while Instant::now() < end {
        let pause = settings.pause.mul_f64(-(1.0 - random.unit()).ln());
        tokio::time::sleep(pause).await;
        let direct_time = timed_call(&mut direct).await;
        tokio::time::sleep(pause).await;
        let through_time = timed_call(&mut through).await;
        match (direct_time, through_time) {
            (Some(direct), Some(through)) => {
                recorder.direct_us.saturating_record(direct.as_micros() as u64);
                recorder.through_us.saturating_record(through.as_micros() as u64);
            }
            _ => recorder.failed += 1,
        }
    }
    Ok(recorder)
}

async fn measure_throughput(
    settings: &PathBenchSettings,
    entry: SocketAddr,
) -> miette::Result<(u64, u64)> {
    let end = Instant::now() + settings.duration;
    let mut callers = JoinSet::new();
    for _ in 0..settings.callers {
        callers.spawn(async move {
            let mut sender = connect(entry).await?;
            let (mut calls, mut failed) = (0, 0);
            while Instant::now() < end {
                match timed_call(&mut sender).await {
                    Some(_) => calls += 1,
                    None => failed += 1,
                }
            }
            Ok::<_, miette::Report>((calls, failed))
        });
    }
    let (mut calls, mut failed) = (0, 0);
    while let Some(result) = callers.join_next().await {
        let (own_calls, own_failed) = result.into_diagnostic()??;
        calls += own_calls;
        failed += own_failed;
    }
    Ok((calls, failed))
}

async fn connect(addr: SocketAddr) -> miette::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(addr).await.into_diagnostic()?;
    stream.set_nodelay(true).into_diagnostic()?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.into_diagnostic()?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Makes a call; returns the time to the end of the response, or none if it was not successful.
async fn timed_call(sender: &mut SendRequest<Empty<Bytes>>) -> Option<Duration> {
    let request = Request::builder().uri(CALL_PATH).header(http::header::HOST, "measure");
    let request = request.body(Empty::new()).ok()?;
    sender.ready().await.ok()?;
    let started = Instant::now();
    let response = sender.send_request(request).await.ok()?;
    let is_success = response.status().is_success();
    discard_limited(response.into_body(), MAX_TOOL_BODY_BYTES).await.ok()?;
    is_success.then(|| started.elapsed())
}

/// Processor time that the entry's threads have used, in seconds; 0 where there is no `/proc`.
fn entry_cpu_secs() -> f64 {
    let mut ticks = 0;
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    for thread in threads.flatten() {
        let Ok(stat) = std::fs::read_to_string(thread.path().join("stat")) else { continue };
        let Some((name, fields)) = stat.rsplit_once(") ") else { continue };
        if !name.ends_with(ENTRY_THREAD_NAME) {
            continue;
        }
        // utime and stime are fields 14 and 15 of the line; the text after ") " begins with field
        // 3, the state.
        for field in fields.split(' ').skip(11).take(2) {
            ticks += field.parse::<u64>().unwrap_or(0);
        }
    }
    ticks as f64 / TICKS_PER_SEC
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
