//! Generations under stale reads, lost responses, paused compilers and concurrent operator changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::config::{
    GENERATION_KIND, GENERATION_NAME, GenerationApplier, GenerationContent, GenerationPublisher,
    MAX_FORMAT, ObjectSet, ObjectSource, OfferOutcome, PublishError, PublishOutcome,
};
use heatherfall::core::{IdempotenceMode, SharedSnapshot};
use heatherfall::platform::{ObjectDraft, PlatformStore, Precondition};
use heatherfall::request::{RequestHead, classify};
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::support::{GatedStore, PausePoint};

const NAMES: [&str; 3] = ["u0", "u1", "u2"];

fn upstream(slots: u32) -> Value {
    json!({ "address": "10.9.0.1:80", "failure_domain": "fd-a", "slots": slots })
}

async fn put(platform: &StandinPlatform, kind: &str, name: &str, spec: Value) {
    let precondition = match platform.get(kind, name).await {
        Ok(object) => Precondition::SpecVersion(object.spec_version),
        Err(_) => Precondition::Absent,
    };
    let draft = ObjectDraft {
        kind: kind.to_owned(),
        name: name.to_owned(),
        spec,
        ..ObjectDraft::default()
    };
    let _ = platform.put(draft, precondition).await;
}

async fn current_generation(platform: &StandinPlatform) -> Option<GenerationContent> {
    let object = platform.get(GENERATION_KIND, GENERATION_NAME).await.ok()?;
    serde_json::from_value(object.spec).ok()
}

/// A process that runs the compiler.
struct Compiler {
    store: Arc<GatedStore>,
    generation_applier: Arc<GenerationApplier>,
    objects: ObjectSet,
    paused_publish: Option<JoinHandle<()>>,
}

impl Compiler {
    fn new(platform: &StandinPlatform) -> Self {
        Self {
            store: Arc::new(GatedStore::new(platform.clone())),
            generation_applier: Arc::new(GenerationApplier::new(SharedSnapshot::default())),
            objects: ObjectSet::default(),
            paused_publish: None,
        }
    }

    fn publish(&self) -> JoinHandle<()> {
        let publisher =
            GenerationPublisher::new(Arc::clone(&self.store), Arc::clone(&self.generation_applier));
        let objects = self.objects.clone();
        tokio::spawn(async move {
            let _ = publisher.publish(&objects, MAX_FORMAT).await;
        })
    }
}

#[derive(Clone, Debug)]
enum Step {
    Put { name: usize, slots: u32 },
    PutInvalid { name: usize },
    Delete { name: usize },
    List { compiler: usize, stale: u64 },
    Publish { compiler: usize, lose: u32 },
    Pause { compiler: usize, is_after: bool },
    Resume { compiler: usize },
    Offer { from: usize, to: usize },
    OfferOld { to: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (name, compiler) = (0..NAMES.len(), 0..3_usize);
    prop_oneof![
        4 => (name.clone(), 1..9_u32).prop_map(|(name, slots)| Step::Put { name, slots }),
        1 => name.clone().prop_map(|name| Step::PutInvalid { name }),
        2 => name.prop_map(|name| Step::Delete { name }),
        6 => (compiler.clone(), 0..6_u64)
            .prop_map(|(compiler, stale)| Step::List { compiler, stale }),
        6 => (compiler.clone(), 0..3_u32)
            .prop_map(|(compiler, lose)| Step::Publish { compiler, lose }),
        2 => (compiler.clone(), any::<bool>())
            .prop_map(|(compiler, is_after)| Step::Pause { compiler, is_after }),
        3 => compiler.clone().prop_map(|compiler| Step::Resume { compiler }),
        2 => (compiler.clone(), compiler.clone()).prop_map(|(from, to)| Step::Offer { from, to }),
        1 => compiler.prop_map(|to| Step::OfferOld { to }),
    ]
}

/// Checks the invariants over all generations that were ever published.
#[derive(Default)]
struct History {
    published: Vec<GenerationContent>,
    highest_versions: BTreeMap<String, u64>,
    /// Highest spec version of each name that an operator deleted.
    deleted_versions: BTreeMap<String, u64>,
}

impl History {
    fn record(&mut self, content: Option<GenerationContent>) {
        let Some(content) = content else { return };
        let last = self.published.last();
        if last == Some(&content) {
            return;
        }
        let last_number = last.map_or(0, |last| last.number.0);
        assert!(content.number.0 > last_number, "{} after {last_number}", content.number);
        for object in &content.objects {
            let highest = self.highest_versions.entry(object.name.clone()).or_default();
            let was_there =
                last.is_some_and(|last| last.find(&object.kind, &object.name).is_some());
            assert!(object.version >= *highest, "{} went back to {}", object.name, object.version);
            assert!(was_there || object.version > *highest, "{} reappeared", object.name);
            *highest = object.version;
        }
        for object in last.iter().flat_map(|last| &last.objects) {
            let deleted = self.deleted_versions.get(&object.name).copied().unwrap_or(0);
            let is_there = content.find(&object.kind, &object.name).is_some();
            assert!(is_there || deleted >= object.version, "{} is missing", object.name);
        }
        self.published.push(content);
    }
}

async fn run_steps(steps: Vec<Step>) {
    let platform = StandinPlatform::default();
    let mut compilers: Vec<Compiler> = (0..3).map(|_| Compiler::new(&platform)).collect();
    let mut history = History::default();
    let mut numbers = [0; 3];
    for step in steps {
        match step {
            Step::Put { name, slots } => {
                put(&platform, "Upstream", NAMES[name], upstream(slots)).await;
            }
            Step::PutInvalid { name } => {
                put(&platform, "Upstream", NAMES[name], json!({ "slots": "many" })).await;
            }
            Step::Delete { name } => {
                if let Ok(object) = platform.get("Upstream", NAMES[name]).await {
                    let deleted = platform.delete("Upstream", NAMES[name], object.spec_version);
                    deleted.await.expect("deleted");
                    history.deleted_versions.insert(object.name, object.spec_version);
                }
            }
            Step::List { compiler, stale } => {
                let faults = FaultSettings { stale_revisions: stale, ..FaultSettings::default() };
                platform.set_faults(faults);
                let source = ObjectSource::new(Arc::new(platform.clone()));
                if let Ok(objects) = source.list().await {
                    compilers[compiler].objects = objects;
                }
                platform.set_faults(FaultSettings::default());
            }
            Step::Publish { compiler, lose } => {
                let faults = FaultSettings { lose_write_answers: lose, ..Default::default() };
                platform.set_faults(faults);
                if compilers[compiler].paused_publish.is_none() {
                    compilers[compiler]
                        .publish()
                        .await
                        .expect("the publishing task does not panic");
                }
                platform.set_faults(FaultSettings::default());
            }
            Step::Pause { compiler, is_after } => {
                let compiler = &mut compilers[compiler];
                if compiler.paused_publish.is_none() {
                    let point =
                        if is_after { PausePoint::AfterWrite } else { PausePoint::BeforeWrite };
                    compiler.store.pause_at(point);
                    compiler.paused_publish = Some(compiler.publish());
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            Step::Resume { compiler } => {
                let compiler = &mut compilers[compiler];
                compiler.store.resume();
                if let Some(publish) = compiler.paused_publish.take() {
                    publish.await.expect("the publishing task does not panic");
                }
            }
            Step::Offer { from, to } => {
                if let Some(current) = compilers[from].generation_applier.current() {
                    compilers[to].generation_applier.offer(&current.bytes);
                }
            }
            Step::OfferOld { to } => {
                if let Some(old) = history.published.first() {
                    let bytes = Bytes::from(serde_json::to_vec(old).expect("encodes"));
                    compilers[to].generation_applier.offer(&bytes);
                }
            }
        }
        history.record(current_generation(&platform).await);
        for (number, compiler) in numbers.iter_mut().zip(&compilers) {
            let now = compiler.generation_applier.number().0;
            assert!(now >= *number, "a node went back from {number} to {now}");
            *number = now;
        }
    }
    check_convergence(&platform, &compilers[0], &mut history).await;
}

/// Checks that, with a healthy platform, one round of any compiler publishes the operators' last
/// writes.
async fn check_convergence(platform: &StandinPlatform, compiler: &Compiler, history: &mut History) {
    compiler.store.resume();
    let publisher = GenerationPublisher::new(
        Arc::new(platform.clone()),
        Arc::clone(&compiler.generation_applier),
    );
    let source = ObjectSource::new(Arc::new(platform.clone()));
    let objects = source.list().await.expect("lists");
    publisher.publish(&objects, MAX_FORMAT).await.expect("publishes");
    let content = current_generation(platform).await;
    history.record(content.clone());
    let content = content.unwrap_or_default();
    for name in NAMES {
        let stored = platform.get("Upstream", name).await.ok();
        let stored = stored.filter(|object| object.spec.get("address").is_some());
        let Some(stored) = stored else { continue };
        let published = content.find("Upstream", name).expect("an accepted object is missing");
        assert_eq!(published.version, stored.spec_version, "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_generation_reverts_an_accepted_change_and_no_node_goes_back(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(run_steps(steps));
    }
}

#[tokio::test(start_paused = true)]
async fn a_compiler_with_older_objects_publishes_nothing() {
    let platform = StandinPlatform::default();
    put(&platform, "Upstream", "u0", upstream(1)).await;
    let mut stale_compiler = Compiler::new(&platform);
    let source = ObjectSource::new(Arc::new(platform.clone()));
    stale_compiler.objects = source.list().await.expect("lists");
    // The object is deleted, so the next generation no longer has it.
    let version = platform.get("Upstream", "u0").await.expect("object").spec_version;
    put(&platform, "Upstream", "u1", upstream(1)).await;
    platform.delete("Upstream", "u0", version).await.expect("deleted");
    let mut newer = Compiler::new(&platform);
    newer.objects = source.list().await.expect("lists");
    newer.publish().await.expect("the publishing task does not panic");
    let publisher = GenerationPublisher::new(
        Arc::clone(&stale_compiler.store),
        Arc::clone(&stale_compiler.generation_applier),
    );
    let result = publisher.publish(&stale_compiler.objects, MAX_FORMAT).await;
    assert!(matches!(result, Err(PublishError::Stale { .. })), "{result:?}");
    assert!(
        current_generation(&platform).await.expect("a generation").find("Upstream", "u0").is_none()
    );
}

#[tokio::test(start_paused = true)]
async fn writes_between_the_lists_are_brought_to_one_revision() {
    let platform = StandinPlatform::default();
    put(&platform, "Budget", "default", json!({})).await;
    let delay = Duration::from_millis(10);
    platform.set_faults(FaultSettings { delay, ..FaultSettings::default() });
    let source = ObjectSource::new(Arc::new(platform.clone()));
    let listing = tokio::spawn(async move { source.list().await });
    // The first list, of budgets, has been read; the last, of upstreams, has not.
    tokio::time::sleep(Duration::from_millis(25)).await;
    platform.set_faults(FaultSettings::default());
    let version = platform.get("Budget", "default").await.expect("object").spec_version;
    platform.delete("Budget", "default", version).await.expect("deleted");
    put(&platform, "Upstream", "u0", upstream(1)).await;
    let objects = listing.await.expect("the listing task does not panic").expect("lists");
    assert_eq!(objects.objects_of_kind("Upstream").len(), 1);
    assert!(objects.objects_of_kind("Budget").is_empty(), "a deletion between lists was missed");
}

#[tokio::test(start_paused = true)]
async fn a_publication_whose_answer_is_lost_is_recognised_as_its_own() {
    let platform = StandinPlatform::default();
    put(&platform, "Upstream", "u0", upstream(1)).await;
    let compiler = Compiler::new(&platform);
    let source = ObjectSource::new(Arc::new(platform.clone()));
    let objects = source.list().await.expect("lists");
    platform.set_faults(FaultSettings { lose_write_answers: 1, ..FaultSettings::default() });
    let publisher = GenerationPublisher::new(
        Arc::clone(&compiler.store),
        Arc::clone(&compiler.generation_applier),
    );
    let result = publisher.publish(&objects, MAX_FORMAT).await;
    assert!(matches!(result, Ok(PublishOutcome::Published(_))), "{result:?}");
    assert_eq!(
        compiler.generation_applier.number(),
        current_generation(&platform).await.expect("a generation").number
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_published_in_a_format_that_a_live_node_does_not_read() {
    let platform = StandinPlatform::default();
    put(&platform, "Upstream", "u0", upstream(1)).await;
    let compiler = Compiler::new(&platform);
    let objects = ObjectSource::new(Arc::new(platform.clone())).list().await.expect("lists");
    let publisher = GenerationPublisher::new(
        Arc::clone(&compiler.store),
        Arc::clone(&compiler.generation_applier),
    );
    let result = publisher.publish(&objects, MAX_FORMAT - 1).await;
    assert!(matches!(result, Err(PublishError::UnsupportedFormat { .. })), "{result:?}");
    assert!(current_generation(&platform).await.is_none());
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_generation_is_rejected_and_the_current_one_stays() {
    let generation_applier = GenerationApplier::new(SharedSnapshot::default());
    let content = |number: u64, format: u32| {
        let text = json!({ "number": number, "format": format, "source_revision": 1,
                           "objects": [], "rejected": [] });
        Bytes::from(text.to_string())
    };
    assert_eq!(generation_applier.offer(&content(3, MAX_FORMAT)), OfferOutcome::Applied);
    assert_eq!(generation_applier.offer(&content(2, MAX_FORMAT)), OfferOutcome::NotNewer);
    for unreadable in [content(4, MAX_FORMAT + 1), Bytes::from_static(b"{ \"number\": 4 }")] {
        let outcome = generation_applier.offer(&unreadable);
        assert!(matches!(outcome, OfferOutcome::Rejected { .. }), "{outcome:?}");
    }
    assert_eq!(generation_applier.number().0, 3);
    assert_eq!(
        generation_applier.highest_rejected().0,
        4,
        "without it, peers would resend the generation in every reply"
    );
}

#[tokio::test(start_paused = true)]
async fn while_a_change_spreads_a_request_is_at_most_once_if_either_generation_says_so() {
    let platform = StandinPlatform::default();
    let snapshot = SharedSnapshot::default();
    let generation_applier = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
    let publisher =
        GenerationPublisher::new(Arc::new(platform.clone()), Arc::clone(&generation_applier));
    let source = ObjectSource::new(Arc::new(platform.clone()));
    let rule = |mode: &str| json!({ "requests": "kind=pay", "mode": mode });
    let label =
        |value: &str| json!({ "match": { "path_prefix": "/pay" }, "labels": { "kind": value } });
    put(&platform, "RequestLabel", "pay", label("pay")).await;
    let (method, uri, headers) = (Method::GET, Uri::from_static("/pay"), HeaderMap::new());
    let mode = || {
        let snapshot = snapshot.load_full().expect("a configuration");
        let head = RequestHead { method: &method, uri: &uri, headers: &headers };
        classify(&snapshot, head).mode
    };
    // From at-most-once to idempotent: stays at-most-once for the transition time.
    for before in ["at-most-once", "idempotent"] {
        put(&platform, "Idempotence", "pay", rule(before)).await;
        publisher.publish(&source.list().await.expect("lists"), MAX_FORMAT).await.expect("ok");
    }
    assert_eq!(mode(), IdempotenceMode::AtMostOnce);
    tokio::time::sleep(Duration::from_secs(6)).await;
    generation_applier.expire_replaced_rules();
    assert_eq!(mode(), IdempotenceMode::Idempotent);
    // Back: at-most-once at once. So is a label change that moves the request to another rule.
    put(&platform, "Idempotence", "pay", rule("at-most-once")).await;
    put(
        &platform,
        "Idempotence",
        "other",
        json!({ "requests": "kind=free", "mode": "idempotent" }),
    )
    .await;
    publisher.publish(&source.list().await.expect("lists"), MAX_FORMAT).await.expect("ok");
    assert_eq!(mode(), IdempotenceMode::AtMostOnce);
    tokio::time::sleep(Duration::from_secs(6)).await;
    generation_applier.expire_replaced_rules();
    put(&platform, "RequestLabel", "pay", label("free")).await;
    publisher.publish(&source.list().await.expect("lists"), MAX_FORMAT).await.expect("ok");
    assert_eq!(mode(), IdempotenceMode::AtMostOnce, "the replaced label rule still applies");
    tokio::time::sleep(Duration::from_secs(6)).await;
    generation_applier.expire_replaced_rules();
    assert_eq!(mode(), IdempotenceMode::Idempotent);
}

#[tokio::test(start_paused = true)]
async fn a_compiler_that_loses_the_race_applies_nothing_of_its_own() {
    let platform = StandinPlatform::default();
    put(&platform, "Upstream", "u0", upstream(1)).await;
    let compiler = Compiler::new(&platform);
    let source = ObjectSource::new(Arc::new(platform.clone()));
    let objects = source.list().await.expect("lists");
    let publisher = GenerationPublisher::new(
        Arc::clone(&compiler.store),
        Arc::clone(&compiler.generation_applier),
    );
    publisher.publish(&objects, MAX_FORMAT).await.expect("first generation");
    put(&platform, "Upstream", "u1", upstream(1)).await;
    let objects = source.list().await.expect("lists");
    platform.set_faults(FaultSettings { overtaken_writes: 1, ..FaultSettings::default() });
    let result = publisher.publish(&objects, MAX_FORMAT).await;
    assert!(matches!(result, Err(PublishError::Conflict)), "{result:?}");
    assert_eq!(
        compiler.generation_applier.number(),
        current_generation(&platform).await.expect("a generation").number
    );
    assert!(
        current_generation(&platform).await.expect("a generation").find("Upstream", "u1").is_none()
    );
}
