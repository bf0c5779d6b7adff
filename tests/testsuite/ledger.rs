//! The ledger on one node and on several: decisions, fencing, failover, archives, expiry and
//! limits.

use std::time::Duration;

use bytes::Bytes;
use heatherfall::core::ResultCode;
use heatherfall::ledger::{
    ClaimDecision, ClaimGrant, ClaimLedger, ClaimOutcome, LedgerSettings, StoredResponse, owner_of,
};
use heatherfall::peer::generated::ledger::{ClaimRequest, ClaimVerdict, FinishRequest};
use heatherfall::platform::PlatformStore;
use heatherfall_standins::platform::FaultSettings;
use tokio::time::Instant;

use crate::support::{
    LedgerCluster, LedgerNode, NodePause, TEST_EPOCH_MS, TestLedger, claim_intent, ledger_settings,
    vm_names,
};

/// A key whose creation time is the start of the test nodes.
fn key(text: &str) -> String {
    format!("{TEST_EPOCH_MS}-{text}")
}

fn stored_response(text: &'static str) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Bytes::from_static(text.as_bytes()),
        is_body_dropped: false,
    }
}

async fn claim(ledger: &TestLedger, key: &str) -> ClaimDecision {
    ledger.claim(claim_intent(key, 1)).await
}

/// Claims a key that has to be granted.
async fn expect_grant(ledger: &TestLedger, key: &str) -> ClaimGrant {
    match claim(ledger, key).await {
        ClaimDecision::Granted(grant) => grant,
        other => panic!("claim of {key} not granted: {other:?}"),
    }
}

fn refused(code: ResultCode) -> ClaimDecision {
    ClaimDecision::Refused(code)
}

fn start_all(nodes: &mut LedgerCluster, count: usize) -> Vec<LedgerNode> {
    let vms = vm_names(count);
    vms.iter().map(|vm| nodes.start(vm, &vms, 1)).collect()
}

/// Sorts the owner of the only partition to the front.
fn owner_first(mut nodes: Vec<LedgerNode>) -> Vec<LedgerNode> {
    let view = nodes[0].membership.load_full();
    let owner = owner_of(&view, 0).unwrap().vm.clone();
    nodes.sort_by_key(|node| node.vm != owner);
    nodes
}

fn one_partition() -> LedgerSettings {
    LedgerSettings { partitions: 1, ..ledger_settings() }
}

#[tokio::test(start_paused = true)]
async fn a_repeat_of_a_finished_request_gets_the_stored_response_from_every_entry() {
    let mut nodes = LedgerCluster::new(ledger_settings());
    let entries = start_all(&mut nodes, 3);
    let grant = expect_grant(&entries[0].ledger, &key("a")).await;
    for entry in &entries {
        let repeat = claim(&entry.ledger, &key("a")).await;
        assert_eq!(repeat, refused(ResultCode::KeyInProgress));
    }
    entries[0].ledger.finish(grant, ClaimOutcome::Ran(stored_response("thanks"))).await;
    for entry in &entries {
        let repeat = claim(&entry.ledger, &key("a")).await;
        assert_eq!(repeat, ClaimDecision::Finished(stored_response("thanks")));
        let other = entry.ledger.claim(claim_intent(&key("a"), 2)).await;
        assert_eq!(other, refused(ResultCode::KeyMismatch));
    }
}

#[tokio::test(start_paused = true)]
async fn a_released_key_can_be_claimed_again_and_an_unknown_one_never() {
    let mut nodes = LedgerCluster::new(ledger_settings());
    let entries = start_all(&mut nodes, 2);
    let first = expect_grant(&entries[0].ledger, &key("a")).await;
    entries[0].ledger.finish(first, ClaimOutcome::DidNotRun).await;
    let second = expect_grant(&entries[1].ledger, &key("a")).await;
    entries[1].ledger.finish(second, ClaimOutcome::Unknown).await;
    for entry in &entries {
        assert_eq!(claim(&entry.ledger, &key("a")).await, refused(ResultCode::OutcomeUnknown));
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_without_a_time_or_from_the_future_or_too_old_is_refused_by_its_own_code() {
    let mut nodes = LedgerCluster::new(ledger_settings());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    let hour_ms = 3_600_000;
    for (key, code) in [
        ("no-time".to_owned(), ResultCode::KeyMalformed),
        ("6ba7b810-9dad-11d1-80b4-00c04fd430c8".to_owned(), ResultCode::KeyMalformed),
        (format!("{}-a", TEST_EPOCH_MS + hour_ms), ResultCode::KeyMalformed),
        (format!("{}-a", TEST_EPOCH_MS - 25 * hour_ms), ResultCode::KeyExpired),
    ] {
        assert_eq!(claim(ledger, &key).await, refused(code), "{key}");
    }
    expect_grant(ledger, &format!("{}-a", TEST_EPOCH_MS - 23 * hour_ms)).await;
}

#[tokio::test(start_paused = true)]
async fn claims_that_arrive_together_share_a_write() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    expect_grant(ledger, &key("first")).await;
    let before = nodes.platform.counts().writes;
    let keys: Vec<String> = (0..200).map(|index| key(&index.to_string())).collect();
    let grants = keys.iter().map(|key| expect_grant(ledger, key));
    futures_util::future::join_all(grants).await;
    let writes = nodes.platform.counts().writes - before;
    assert!(writes <= 2, "{writes} writes");
}

#[tokio::test(start_paused = true)]
async fn a_platform_that_is_down_refuses_at_once_and_service_returns_by_itself() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    expect_grant(ledger, &key("first")).await;
    nodes.platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    let started = Instant::now();
    for index in 0..50 {
        let decision = claim(ledger, &key(&format!("down-{index}"))).await;
        assert_eq!(decision, refused(ResultCode::LedgerUnavailable));
    }
    assert!(started.elapsed() < Duration::from_millis(1), "{:?}", started.elapsed());
    nodes.platform.set_faults(FaultSettings::default());
    tokio::time::sleep(Duration::from_secs(2)).await;
    for index in 0..50 {
        expect_grant(ledger, &key(&format!("down-{index}"))).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answers_are_lost_is_recognised_and_granted_once() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    expect_grant(ledger, &key("first")).await;
    nodes.platform.set_faults(FaultSettings { lose_write_answers: 2, ..FaultSettings::default() });
    expect_grant(ledger, &key("a")).await;
    assert_eq!(claim(ledger, &key("a")).await, refused(ResultCode::KeyInProgress));
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_was_refused_while_it_became_durable_can_be_claimed_again() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    expect_grant(ledger, &key("first")).await;
    entries[0].set_pause(NodePause::AfterWrite);
    assert_eq!(claim(ledger, &key("a")).await, refused(ResultCode::LedgerUnavailable));
    entries[0].set_pause(NodePause::None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_grant(ledger, &key("a")).await;
}

#[tokio::test(start_paused = true)]
async fn an_owner_paused_before_its_write_is_fenced_however_long_it_was_paused() {
    let settings = LedgerSettings { ring_slots: 4, ..one_partition() };
    let mut nodes = LedgerCluster::new(settings);
    let entries = owner_first(start_all(&mut nodes, 2));
    let (former_owner, new_owner) = (&entries[0], &entries[1]);
    expect_grant(&former_owner.ledger, &key("first")).await;
    former_owner.set_pause(NodePause::BeforeWrite);
    let paused = tokio::spawn({
        let ledger = former_owner.ledger.clone();
        async move { claim(&ledger, &key("raced")).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    new_owner.set_view(std::slice::from_ref(&new_owner.vm));
    let grant = expect_grant(&new_owner.ledger, &key("raced")).await;
    new_owner.ledger.finish(grant, ClaimOutcome::Ran(stored_response("ran once"))).await;
    // Every ring slot is reused several times while the former owner is paused, so that its write
    // would overwrite a newer segment if versions could repeat.
    for index in 0..40 {
        expect_grant(&new_owner.ledger, &key(&format!("more-{index}"))).await;
    }
    let late = paused.await.unwrap();
    assert_eq!(late, refused(ResultCode::LedgerUnavailable));
    former_owner.set_pause(NodePause::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let repeat = claim(&former_owner.ledger, &key("raced")).await;
    assert_eq!(repeat, ClaimDecision::Finished(stored_response("ran once")));
    for index in 0..40 {
        let repeat = claim(&new_owner.ledger, &key(&format!("more-{index}"))).await;
        assert_eq!(repeat, refused(ResultCode::KeyInProgress));
    }
}

#[tokio::test(start_paused = true)]
async fn a_successor_says_unknown_for_a_claim_whose_entry_is_gone() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = owner_first(start_all(&mut nodes, 2));
    expect_grant(&entries[0].ledger, &key("a")).await;
    nodes.kill(&entries[0]);
    entries[1].set_view(std::slice::from_ref(&entries[1].vm));
    let repeat = claim(&entries[1].ledger, &key("a")).await;
    assert_eq!(repeat, refused(ResultCode::OutcomeUnknown));
}

/// Time until a key is granted after its partition's owner has failed, with platform calls of 5 ms.
async fn time_to_grant_without_owner(
    fail_owner: impl FnOnce(&LedgerCluster, &LedgerNode),
) -> Duration {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = owner_first(start_all(&mut nodes, 3));
    expect_grant(&entries[1].ledger, &key("first")).await;
    let delay = Duration::from_millis(5);
    nodes.platform.set_faults(FaultSettings { delay, ..FaultSettings::default() });
    fail_owner(&nodes, &entries[0]);
    let started = Instant::now();
    expect_grant(&entries[1].ledger, &key("a")).await;
    let elapsed = started.elapsed();
    assert_eq!(claim(&entries[2].ledger, &key("a")).await, refused(ResultCode::KeyInProgress));
    elapsed
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_owner_is_substituted_before_the_view_changes() {
    let dead = time_to_grant_without_owner(|nodes, owner| nodes.kill(owner)).await;
    let paused =
        time_to_grant_without_owner(|_, owner| owner.set_pause(NodePause::BeforeWrite)).await;
    println!("granted after {dead:?} with a dead owner, {paused:?} with a paused one");
    let timeout = ledger_settings().claim_timeout;
    assert!(dead < timeout && paused < timeout, "{dead:?} {paused:?}");
}

#[tokio::test(start_paused = true)]
async fn every_key_is_kept_while_ring_slots_are_reused_and_archives_merged() {
    let settings = LedgerSettings { ring_slots: 8, archive_bytes: 2000, ..one_partition() };
    let mut nodes = LedgerCluster::new(settings);
    let entries = owner_first(start_all(&mut nodes, 2));
    for index in 0..300 {
        let grant = expect_grant(&entries[0].ledger, &key(&index.to_string())).await;
        let outcome = match index % 3 {
            0 => ClaimOutcome::Ran(stored_response("kept")),
            1 => ClaimOutcome::Unknown,
            _ => continue,
        };
        entries[0].ledger.finish(grant, outcome).await;
    }
    nodes.kill(&entries[0]);
    entries[1].set_view(&vm_names(2)[..]);
    for index in 0..300 {
        let repeat = claim(&entries[1].ledger, &key(&index.to_string())).await;
        let expected = match index % 3 {
            0 => ClaimDecision::Finished(stored_response("kept")),
            1 => refused(ResultCode::OutcomeUnknown),
            _ => refused(ResultCode::KeyInProgress),
        };
        assert_eq!(repeat, expected, "key {index}");
    }
}

#[tokio::test(start_paused = true)]
async fn expired_keys_are_removed_and_refused_and_their_archives_deleted() {
    let settings = LedgerSettings { ring_slots: 8, archive_bytes: 1000, ..one_partition() };
    let mut nodes = LedgerCluster::new(settings);
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    for index in 0..200 {
        expect_grant(ledger, &key(&index.to_string())).await;
    }
    let archives = nodes.platform.list("LedgerArchive", "").await.unwrap().items.len();
    assert!(archives > 5, "{archives} archives");
    tokio::time::sleep(Duration::from_secs(25 * 3600)).await;
    for index in 0..60 {
        let now = nodes.now_ms();
        expect_grant(ledger, &format!("{now}-late-{index}")).await;
        assert_eq!(claim(ledger, &key("0")).await, refused(ResultCode::KeyExpired));
    }
    let left = nodes.platform.list("LedgerArchive", "").await.unwrap().items.len();
    assert!(left <= 8, "{left} of {archives} archives left");
    let segments = nodes.platform.list("LedgerSegment", "").await.unwrap().items.len();
    assert_eq!(segments, 8);
    let keys = ledger.counters().keys.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(keys, 60);
}

#[tokio::test(start_paused = true)]
async fn a_full_ledger_refuses_new_keys_and_still_decides_about_known_ones() {
    let mut nodes = LedgerCluster::new(LedgerSettings { max_keys: 10, ..one_partition() });
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    for index in 0..10 {
        expect_grant(ledger, &key(&index.to_string())).await;
    }
    assert_eq!(claim(ledger, &key("one-more")).await, refused(ResultCode::LedgerFull));
    assert_eq!(claim(ledger, &key("3")).await, refused(ResultCode::KeyInProgress));
}

#[tokio::test(start_paused = true)]
async fn writes_stay_within_their_rate_under_a_flood_of_claims() {
    let settings = LedgerSettings { writes_per_second: 20.0, write_burst: 5.0, ..one_partition() };
    let mut nodes = LedgerCluster::new(settings);
    let entries = start_all(&mut nodes, 1);
    let mut claims = tokio::task::JoinSet::new();
    for index in 0..2000_u64 {
        let ledger = entries[0].ledger.clone();
        claims.spawn(async move {
            tokio::time::sleep(Duration::from_millis(index)).await;
            expect_grant(&ledger, &key(&index.to_string())).await;
        });
    }
    claims.join_all().await;
    let writes = nodes.platform.counts().writes;
    assert!(writes <= 50, "{writes} writes in 2 s");
}

/// A claim request as an entry sends it to the partition's owner.
fn claim_request(key: &str, claim_id: u8) -> ClaimRequest {
    ClaimRequest {
        tenant: "cau-noi".to_owned(),
        key: key.to_owned(),
        request_digest: Bytes::from_static(&[1; 32]),
        claim_id: Bytes::copy_from_slice(&[claim_id; 16]),
        generation: 1,
        entry_vm: "entry-0".to_owned(),
        entry_incarnation: 1,
        is_owner_unreachable: false,
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_granted_again_to_its_own_entry_until_it_ends_and_never_after() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = start_all(&mut nodes, 1);
    let ledger = &entries[0].ledger;
    for _ in 0..3 {
        let reply = ledger.serve_claim(claim_request(&key("a"), 1)).await;
        assert_eq!(reply.verdict(), ClaimVerdict::Granted);
    }
    let release = FinishRequest {
        tenant: "cau-noi".to_owned(),
        key: key("a"),
        claim_id: Bytes::copy_from_slice(&[1; 16]),
        outcome: None,
        did_not_run: true,
        is_owner_unreachable: false,
    };
    assert!(ledger.serve_finish(release).await.is_recorded);
    let late = ledger.serve_claim(claim_request(&key("a"), 1)).await;
    assert_eq!(late.verdict(), ClaimVerdict::Unavailable);
    let other = ledger.serve_claim(claim_request(&key("a"), 2)).await;
    assert_eq!(other.verdict(), ClaimVerdict::Granted);
    let late = ledger.serve_claim(claim_request(&key("a"), 1)).await;
    assert_eq!(late.verdict(), ClaimVerdict::InProgress);
}

#[tokio::test(start_paused = true)]
async fn entries_that_disagree_about_the_owner_are_both_served() {
    let mut nodes = LedgerCluster::new(one_partition());
    let entries = owner_first(start_all(&mut nodes, 2));
    entries[0].set_view(std::slice::from_ref(&entries[1].vm));
    entries[1].set_view(std::slice::from_ref(&entries[0].vm));
    let grant = expect_grant(&entries[0].ledger, &key("a")).await;
    assert_eq!(claim(&entries[1].ledger, &key("a")).await, refused(ResultCode::KeyInProgress));
    entries[0].ledger.finish(grant, ClaimOutcome::Ran(stored_response("thanks"))).await;
    // An owner that has been fenced notices it only once its table is older than MAX_VERIFIED_AGE
    // and is checked against the log.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let repeat = claim(&entries[1].ledger, &key("a")).await;
    assert_eq!(repeat, ClaimDecision::Finished(stored_response("thanks")));
}
