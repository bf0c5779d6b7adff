//! Requests that an entry without a path to the upstreams forwards to its peers, on the paused clock.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{
    LoadReport, PathMonitor, PathVerdict, TwoChoicesPicker, record_shared_report,
};
use heatherfall::core::{
    BudgetSpec, DECISION_HEADER, EntryPeer, FORWARDED_HEADER, GenerationNumber, SharedSnapshot,
    UpstreamState,
};
use heatherfall::limits::{RouteLimitSettings, WindowAllowance};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    AdmittedRequest, AttemptOrder, AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings,
    ForwardAdmissionError, ForwardKey, ForwardKeys, ForwardRefusal, ForwardTable, ForwardedRequest,
    NotRunProof, PeerForwarder, PlaneResponse, SignedParts, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use proptest::prelude::*;
use serde_json::json;
use tokio::time::Instant;

use crate::support::{TestLedger, single_node_ledger, three_upstream_snapshot};

pub(crate) type PeerPlane = DataPlane<WorldClient, TwoChoicesPicker, TestLedger>;

/// Time for which a request may wait in these tests.
const DEADLINE: Duration = Duration::from_millis(100);

/// One repeat for each request.
const ALLOWANCE: WindowAllowance =
    WindowAllowance { ratio: 1.0, extra: 0.0, window: Duration::from_secs(10) };

/// What becomes of a request at the upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum UpstreamBehaviour {
    #[default]
    Answer,
    /// Answers and says that it is leaving.
    Leave,
    /// Refuses as not run.
    Shed,
    /// Runs the request and breaks the connection.
    Break,
    /// Breaks the connection of a request, and refuses new connections.
    BreakAndRefuse,
}

/// What becomes of a request on its way to a peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum PeerLink {
    #[default]
    Open,
    Refused,
    /// Broken after the request has been sent.
    Broken,
}

/// State of a test, shared by the clients of all its entries.
#[derive(Default)]
pub(crate) struct World {
    behaviour: Mutex<UpstreamBehaviour>,
    link: Mutex<PeerLink>,
    /// Peers from which no connection to an upstream can be opened, or [`ENTRY_ITSELF`].
    unreached: Mutex<Vec<usize>>,
    /// Whether peers lose their paths just after they have taken a request.
    cuts_after_accept: AtomicBool,
    /// Whether health checks of other upstreams than the one that ran a request succeed.
    are_others_well: AtomicBool,
    peers: OnceLock<Vec<(SocketAddr, Arc<dyn PeerListener>)>>,
    /// Heads of the requests that upstreams have run.
    runs: Mutex<Vec<HeaderMap>>,
    /// Peers that requests were sent to.
    forwards: Mutex<Vec<SocketAddr>>,
}

/// A peer's listener for forwarded requests.
trait PeerListener: Send + Sync {
    fn serve(self: Arc<Self>, request: AttemptRequest, cuts: bool) -> ServedRequest;
}

type ServedRequest = Pin<Box<dyn Future<Output = AttemptOutcome<Full<Bytes>>> + Send>>;

impl PeerListener for PeerPlane {
    fn serve(self: Arc<Self>, request: AttemptRequest, cuts: bool) -> ServedRequest {
        Box::pin(async move { serve_forwarded(&self, request, cuts).await })
    }
}

/// Number of the entry in the place of a peer's.
const ENTRY_ITSELF: usize = usize::MAX;

/// The client of one entry.
#[derive(Clone)]
pub(crate) struct WorldClient {
    world: Arc<World>,
    /// Number of the peer, or [`ENTRY_ITSELF`].
    owner: usize,
}

impl UpstreamClient for WorldClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let world = &self.world;
        let address = upstream.spec.address;
        let peer = world.peers.get().and_then(|peers| {
            peers.iter().find(|(known, _)| *known == address).map(|(_, plane)| plane)
        });
        if let Some(plane) = peer {
            world.forwards.lock().unwrap().push(address);
            match *world.link.lock().unwrap() {
                PeerLink::Open => {}
                PeerLink::Refused => return AttemptOutcome::NotRun(NotRunProof::ConnectFailed),
                PeerLink::Broken => return AttemptOutcome::Unknown(UnknownCause::ConnectionBroken),
            }
            let cuts = world.cuts_after_accept.load(Ordering::Relaxed);
            return Arc::clone(plane).serve(request, cuts).await;
        }
        if request.uri.path() == "/health" {
            return match world.are_others_well.load(Ordering::Relaxed) && upstream.name != "u0" {
                true => answer(&HeaderMap::new()),
                false => AttemptOutcome::NotRun(NotRunProof::ConnectFailed),
            };
        }
        if world.unreached.lock().unwrap().contains(&self.owner) {
            return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
        }
        let behaviour = *world.behaviour.lock().unwrap();
        if behaviour == UpstreamBehaviour::BreakAndRefuse {
            return AttemptOutcome::Unknown(UnknownCause::ConnectionBroken);
        }
        if behaviour != UpstreamBehaviour::Shed {
            world.runs.lock().unwrap().push(request.headers.clone());
        }
        let mut headers = HeaderMap::new();
        match behaviour {
            UpstreamBehaviour::Leave => {
                headers.insert("x-upstream-drain", HeaderValue::from_static("1"));
            }
            UpstreamBehaviour::Shed => {
                headers.insert("x-upstream-not-run", HeaderValue::from_static("1"));
            }
            UpstreamBehaviour::Break => {
                return AttemptOutcome::Unknown(UnknownCause::ConnectionBroken);
            }
            _ => {}
        }
        answer(&headers)
    }
}

fn answer(headers: &HeaderMap) -> AttemptOutcome<Full<Bytes>> {
    let mut response = Response::new(Full::from("answer"));
    if headers.contains_key("x-upstream-not-run") {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response.headers_mut().extend(headers.clone());
    AttemptOutcome::Answered(UpstreamResponse { response })
}

fn accept(
    plane: &PeerPlane,
    parts: &mut Parts,
    body: &Bytes,
    forwarded: ForwardedRequest,
) -> Result<AdmittedRequest, ForwardRefusal> {
    let admitted = match plane.admit_forwarded(parts, forwarded) {
        Ok(admitted) => admitted,
        Err(ForwardAdmissionError::Refused(refusal)) => return Err(refusal),
        Err(ForwardAdmissionError::Failed(code)) => panic!("no request of these tests: {code}"),
    };
    plane.accept_forwarded(parts, body, forwarded, &admitted)?;
    Ok(admitted)
}

/// Runs a request at the peer as its listener for forwarded requests does.
async fn serve_forwarded(
    plane: &Arc<PeerPlane>,
    request: AttemptRequest,
    cuts: bool,
) -> AttemptOutcome<Full<Bytes>> {
    let mut parts = Request::new(()).into_parts().0;
    parts.method = request.method;
    parts.uri = request.uri;
    parts.headers = request.headers;
    let response: PlaneResponse<WorldClient> = match plane.check_forwarded(&parts) {
        Err(refusal) => refusal.response(),
        Ok(forwarded) => match accept(plane, &mut parts, &request.body, forwarded) {
            Err(refusal) => refusal.response(),
            Ok(admitted) => {
                if cuts {
                    cut(plane);
                }
                plane.run(admitted, parts, request.body).await
            }
        },
    };
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a complete body").to_bytes();
    AttemptOutcome::Answered(UpstreamResponse {
        response: Response::from_parts(head, Full::new(body)),
    })
}

/// An entry and its peers.
pub(crate) struct Fleet {
    world: Arc<World>,
    pub(crate) entry: Arc<PeerPlane>,
    pub(crate) peers: Vec<Arc<PeerPlane>>,
    pub(crate) snapshots: Vec<SharedSnapshot>,
}

fn forward_keys(text: &str) -> ForwardKeys {
    ForwardKeys { current: ForwardKey::new(text).expect("usable"), previous: None }
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, index as u8], 7000))
}

fn snapshot() -> SharedSnapshot {
    let shared = three_upstream_snapshot(json!({}), BudgetSpec::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    snapshot.generation = GenerationNumber(7);
    for upstream in snapshot.upstreams.values_mut() {
        let mut spec = upstream.spec.clone();
        spec.health_path = Some("/health".into());
        *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
    }
    let names = snapshot.upstreams.iter().map(|(key, upstream)| (upstream.name.clone(), key));
    snapshot.upstream_names = names.collect();
    shared.store(Some(Arc::new(snapshot)));
    shared
}

impl Fleet {
    /// An entry with `peers` peers; all have a path.
    fn new(peers: usize) -> Self {
        let world = Arc::new(World::default());
        let mut planes = Vec::new();
        let mut snapshots = Vec::new();
        for seed in 0..=peers as u64 {
            let shared = snapshot();
            let table =
                ForwardTable::new(Arc::new(PathMonitor::default()), SeededRandom::new(seed));
            table.set_keys(forward_keys("the key of a deployment"));
            let mut known = Vec::new();
            for index in 0..peers {
                let (name, failure_domain) = (format!("entry-{index}"), "fd-a".to_owned());
                known.push(EntryPeer { name, address: peer_address(index), failure_domain });
            }
            table.set_peers(known, Vec::new());
            let freshness = Arc::new(ConfigFreshness::default());
            freshness.confirm(Duration::ZERO);
            let owner = usize::try_from(seed).unwrap().checked_sub(1).unwrap_or(ENTRY_ITSELF);
            let client = WorldClient { world: Arc::clone(&world), owner };
            let picker = TwoChoicesPicker::new(SeededRandom::new(seed));
            let plane = DataPlane::new(
                Arc::clone(&shared),
                client.clone(),
                picker,
                single_node_ledger(),
                freshness,
                ExecutionSettings::default(),
            );
            let plane = plane.with_limits(RouteLimitSettings {
                repeats: Some(ALLOWANCE),
                is_gate_disabled: true,
                ..Default::default()
            });
            let forwarder = PeerForwarder { client, table: Arc::new(table) };
            planes.push(Arc::new(plane.with_forwarder(forwarder)));
            snapshots.push(shared);
        }
        let entry = planes.remove(0);
        let mut addressed = Vec::new();
        for (index, plane) in planes.iter().enumerate() {
            let listener: Arc<dyn PeerListener> = Arc::clone(plane) as _;
            addressed.push((peer_address(index), listener));
        }
        let _ = world.peers.set(addressed);
        Self { world, entry, peers: planes, snapshots }
    }

    pub(crate) fn with_cut_entry(peers: usize) -> Self {
        let fleet = Self::new(peers);
        cut(&fleet.entry);
        fleet
    }

    pub(crate) async fn send(&self, path: &str) -> Response<()> {
        self.send_after(path, Duration::ZERO).await
    }

    /// Sends a request that has waited for `wait` since its admission.
    async fn send_after(&self, path: &str, wait: Duration) -> Response<()> {
        let (mut parts, ()) =
            Request::builder().uri(path).header("x-request-id", "a").body(()).unwrap().into_parts();
        parts.headers.insert("x-other", HeaderValue::from_static("kept"));
        let admitted = self.entry.admit(&parts).expect("a route selects the request");
        tokio::time::advance(wait).await;
        let response = self.entry.run(admitted, parts, Bytes::from("body")).await;
        response.map(drop)
    }

    pub(crate) fn runs(&self) -> usize {
        self.world.runs.lock().unwrap().len()
    }

    pub(crate) fn forwards(&self) -> usize {
        self.world.forwards.lock().unwrap().len()
    }
}

/// Makes an entry treat its path to the upstreams as cut.
fn cut(plane: &PeerPlane) {
    plane.path().conclude(PathVerdict::NoConnection, Instant::now());
}

pub(crate) fn is_not_run(response: &Response<()>) -> bool {
    response.headers().contains_key("heatherfall-not-run")
}

pub(crate) fn code(response: &Response<()>) -> &str {
    response.headers().get("heatherfall-result").map_or("ok", |value| value.to_str().unwrap())
}

#[tokio::test(start_paused = true)]
async fn a_forwarded_request_reaches_an_upstream_once_and_unchanged() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(2);
        let waited = Duration::from_millis(30);
        let response = fleet.send_after(path, waited).await;
        assert_eq!(response.status(), StatusCode::OK, "{path}");
        assert_eq!((fleet.runs(), fleet.forwards()), (1, 1), "{path}");
        assert!(!response.headers().contains_key("heatherfall-upstream"));
        let runs = fleet.world.runs.lock().unwrap();
        let headers = &runs[0];
        assert!(!headers.contains_key(FORWARDED_HEADER));
        assert_eq!((headers["x-request-id"] == "a", headers["x-other"] == "kept"), (true, true));
        let left: u128 = headers["heatherfall-deadline-ms"].to_str().unwrap().parse().unwrap();
        assert!(left <= (DEADLINE - waited).as_millis(), "{path}: {left} ms left");
    }
}

/// Guards against peers that forward to each other what nobody can send, and against requests that
/// wait for their deadline meanwhile.
#[tokio::test(start_paused = true)]
async fn what_no_entry_can_send_is_refused_at_once_and_never_forwarded_twice() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(6);
        fleet.peers.iter().for_each(|peer| cut(peer));
        let started = Instant::now();
        let response = fleet.send(path).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(is_not_run(&response));
        assert_eq!(response.headers()["retry-after"], "1");
        assert!(fleet.forwards() <= 4, "{} peers asked", fleet.forwards());
        for _ in 0..3 {
            fleet.send(path).await;
        }
        assert!(fleet.forwards() <= 6, "peers without a path are asked again at once");
        assert_eq!((started.elapsed(), fleet.runs()), (Duration::ZERO, 0));
    }
}

#[tokio::test(start_paused = true)]
async fn another_peer_is_asked_if_one_cannot_be_reached_and_none_once_a_request_has_been_sent() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(3);
        *fleet.world.link.lock().unwrap() = PeerLink::Refused;
        let response = fleet.send(path).await;
        assert!(is_not_run(&response));
        assert_eq!((fleet.forwards(), fleet.runs()), (3, 0));

        let fleet = Fleet::with_cut_entry(3);
        *fleet.world.link.lock().unwrap() = PeerLink::Broken;
        let response = fleet.send(path).await;
        assert_eq!(code(&response), "HF-1004", "{path}");
        assert!(!is_not_run(&response));
        assert_eq!(fleet.forwards(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn what_a_peer_says_of_a_request_that_it_has_taken_is_passed_on() {
    let fleet = Fleet::with_cut_entry(2);
    *fleet.world.behaviour.lock().unwrap() = UpstreamBehaviour::Shed;
    let response = fleet.send("/write").await;
    assert!(is_not_run(&response));
    assert_eq!((fleet.runs(), fleet.forwards()), (0, 1));
    *fleet.world.behaviour.lock().unwrap() = UpstreamBehaviour::Break;
    let response = fleet.send("/write").await;
    assert_eq!(code(&response), "HF-1004");
    assert!(!is_not_run(&response));
    assert_eq!((fleet.runs(), fleet.forwards()), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_says_to_a_peer_that_it_is_leaving_gets_nothing_from_the_entry_either() {
    let fleet = Fleet::with_cut_entry(1);
    *fleet.world.behaviour.lock().unwrap() = UpstreamBehaviour::Leave;
    for _ in 0..2 {
        fleet.send("/read").await;
    }
    let draining = |snapshot: &SharedSnapshot| {
        let snapshot = snapshot.load_full().unwrap();
        let mut names = Vec::new();
        for upstream in snapshot.upstreams.values() {
            if upstream.is_draining() {
                names.push(upstream.name.clone());
            }
        }
        names
    };
    let [own, peers] = [draining(&fleet.snapshots[0]), draining(&fleet.snapshots[1])];
    assert_eq!(own.len(), 2);
    assert_eq!(own, peers);
}

/// Guards against a request that earns two entries a repeat, and against a lost path that uses up the
/// budget.
#[tokio::test(start_paused = true)]
async fn a_forwarded_request_counts_in_the_budget_of_the_peer_alone() {
    let fleet = Fleet::with_cut_entry(1);
    for _ in 0..10 {
        fleet.send("/read").await;
    }
    let can_spend = |plane: &PeerPlane, times: u32| {
        let limits = plane.limits();
        let route = limits.routes().into_iter().next().expect("a route");
        let window = route.limits.window_budget(None).expect("a budget");
        (0..times).all(|_| window.try_spend(1))
    };
    assert!(!can_spend(&fleet.entry, 1), "the entry has no request of its own");
    assert!(can_spend(&fleet.peers[0], 8), "the peer has ten");
    assert!(!can_spend(&fleet.peers[0], 1), "four fifths of the allowance are used");
}

/// Guards against an entry that takes its own loss of the path for upstreams that have ended, and has
/// a request refused everywhere.
#[tokio::test(start_paused = true)]
async fn an_entry_that_reaches_no_upstream_records_no_crash_and_one_that_does_goes_on_to() {
    for (are_others_well, is_recorded) in [(false, false), (true, true)] {
        let fleet = Fleet::new(0);
        *fleet.world.behaviour.lock().unwrap() = UpstreamBehaviour::BreakAndRefuse;
        fleet.world.are_others_well.store(are_others_well, Ordering::Relaxed);
        for _ in 0..12 {
            fleet.send("/write").await;
        }
        let quarantine = fleet.entry.quarantine();
        assert_eq!(!quarantine.is_empty(), is_recorded, "others well: {are_others_well}");
    }
}

#[test]
fn a_forwarded_request_without_a_valid_signature_is_refused() {
    let key = ForwardKey::new("the key of a deployment").unwrap();
    let other = ForwardKey::new("another key").unwrap();
    let headers = HeaderMap::from_iter([("x-request-id".parse().unwrap(), "a".parse().unwrap())]);
    let forwarded = ForwardedRequest {
        generation: GenerationNumber(7),
        decision: None,
        retries: 1,
        order: AttemptOrder::First,
        caller: Some([127, 0, 0, 1].into()),
    };
    let (method, uri, body) = (Method::POST, Uri::from_static("/a?b=c"), Bytes::from("body"));
    let parts = SignedParts { method: &method, uri: &uri, headers: &headers, body: &body };
    let value = key.sign(&forwarded, parts);
    let mut sent = headers.clone();
    sent.insert(FORWARDED_HEADER, value.clone());
    assert_eq!(ForwardedRequest::parse(&sent), Some(forwarded));
    assert!(key.verify(&value, parts) && !other.verify(&value, parts));
    let more_retries = value.to_str().unwrap().replacen("7 1", "7 9", 1);
    assert!(!key.verify(&more_retries.parse().unwrap(), parts));
    let (other_method, other_uri) = (Method::GET, Uri::from_static("/a?b=d"));
    let (other_headers, other_body) = (HeaderMap::new(), Bytes::from("Body"));
    let changed = [
        SignedParts { method: &other_method, ..parts },
        SignedParts { uri: &other_uri, ..parts },
        SignedParts { headers: &other_headers, ..parts },
        SignedParts { body: &other_body, ..parts },
    ];
    for changed in changed {
        assert!(!key.verify(&value, changed), "{changed:?}");
    }
}

proptest! {
    #[test]
    fn no_value_of_the_forwarding_header_ends_the_process(text in "[ -~]{0,80}") {
        let key = ForwardKey::new("the key of a deployment").unwrap();
        let value = HeaderValue::from_str(&text).unwrap();
        let (mut headers, body) = (HeaderMap::new(), Bytes::new());
        headers.insert(FORWARDED_HEADER, value.clone());
        headers.insert(DECISION_HEADER, value.clone());
        let _ = ForwardedRequest::parse(&headers);
        let (method, uri) = (Method::GET, Uri::from_static("/"));
        let parts = SignedParts { method: &method, uri: &uri, headers: &headers, body: &body };
        prop_assert!(!key.verify(&value, parts));
    }
}

/// Guards against a peer that takes requests and cannot reach the upstreams either, as long as it has
/// not noticed.
#[tokio::test(start_paused = true)]
async fn a_peer_that_reaches_no_upstream_leaves_the_request_to_another() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(3);
        fleet.world.unreached.lock().unwrap().push(0);
        for _ in 0..6 {
            let response = fleet.send(path).await;
            assert_eq!(response.status(), StatusCode::OK, "{path}");
        }
        assert_eq!(fleet.runs(), 6, "{path}");
        assert!(fleet.forwards() <= 7, "the peer is asked again at once");
    }
}

/// Guards against requests that fail in the time until a lost path is noticed, though the others reach
/// the upstreams: their load reports say so.
#[tokio::test(start_paused = true)]
async fn a_request_that_reached_no_upstream_is_forwarded_if_peers_reach_what_it_tried() {
    for (report_age_ms, is_served) in [(50, true), (2000, false)] {
        for path in ["/read", "/write"] {
            let fleet = Fleet::new(2);
            fleet.world.unreached.lock().unwrap().push(ENTRY_ITSELF);
            for upstream in fleet.snapshots[0].load_full().unwrap().upstreams.values() {
                let report = LoadReport { inflight: 0, work_percent: Some(100) };
                record_shared_report(upstream, report, Duration::ZERO, &Default::default());
            }
            tokio::time::advance(Duration::from_millis(report_age_ms)).await;
            let response = fleet.send(path).await;
            assert_eq!(response.status() == StatusCode::OK, is_served, "{path} {report_age_ms}");
            assert_eq!(is_not_run(&response), !is_served);
            assert_eq!(fleet.forwards(), usize::from(is_served));
        }
    }
}

/// Guards against a deployment that refuses everything, because its upstreams respond so slowly that
/// all entries take their paths for cut: connections are accepted, so the requests are sent.
#[tokio::test(start_paused = true)]
async fn if_no_peer_has_a_path_either_and_connections_are_accepted_requests_are_sent_here() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::new(6);
        for plane in fleet.peers.iter().chain([&fleet.entry]) {
            for _ in 0..2 {
                plane.path().conclude(PathVerdict::NoResponse, Instant::now());
            }
            assert!(plane.path().is_cut());
        }
        for count in 1..=4 {
            let response = fleet.send(path).await;
            assert_eq!(response.status(), StatusCode::OK, "{path}");
            assert_eq!(fleet.runs(), count);
        }
        assert!(fleet.forwards() <= 6, "peers without a path are asked again at once");
    }
}

/// Guards against a second hop: a peer that loses its path, or finds that it has none, after it has
/// taken a request.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_forwarded_is_never_forwarded_again() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(3);
        fleet.world.cuts_after_accept.store(true, Ordering::Relaxed);
        let response = fleet.send(path).await;
        assert_eq!(response.status(), StatusCode::OK, "{path}");
        assert_eq!((fleet.forwards(), fleet.runs()), (1, 1), "{path}");

        let fleet = Fleet::with_cut_entry(2);
        fleet.world.unreached.lock().unwrap().extend([0, 1]);
        for upstream in fleet.snapshots[1..].iter().flat_map(upstreams) {
            let report = LoadReport { inflight: 0, work_percent: Some(100) };
            record_shared_report(&upstream, report, Duration::ZERO, &Default::default());
        }
        let response = fleet.send(path).await;
        assert!(is_not_run(&response));
        assert_eq!((fleet.forwards(), fleet.runs()), (2, 0), "{path}: each peer once");
    }
}

fn upstreams(snapshot: &SharedSnapshot) -> Vec<Arc<UpstreamState>> {
    snapshot.load_full().unwrap().upstreams.values().cloned().collect()
}
