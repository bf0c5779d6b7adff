//! Rate limits that upstreams name, and how entries share them, on the paused clock.

use std::time::Duration;

use heatherfall::core::{
    FailureDomain, LimitShare, LimitStatement, NamedRateLimit, RateLimit, VmId,
};
use heatherfall::fleet::limit_shares::LimitMembers;
use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

const HEADER: HeaderName = HeaderName::from_static("x-limit");
/// Window over which the users' rule counts requests.
const WINDOW_SECS: f64 = 4.0;
/// Requests that the rule allows in a window beyond one and a half times the limit.
const ALLOWED_EXTRA: f64 = 5.0;

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("a valid limit")
}

fn statement(values: &[&str]) -> LimitStatement {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(HEADER, HeaderValue::from_str(value).expect("a header value"));
    }
    LimitStatement::from_headers(&headers, &HEADER)
}

/// A limit that has been named, with this share of it.
fn limited(per_second: f64, share: LimitShare) -> NamedRateLimit {
    let named = NamedRateLimit::default();
    named.record_response(LimitStatement::Limited(limit(per_second)), Duration::ZERO);
    named.set_share(share);
    named
}

/// Sends as much as is allowed for `time`; returns the number of requests.
async fn send_greedily(named: &NamedRateLimit, time: Duration) -> u32 {
    let mut sent = 0;
    let end = Instant::now() + time;
    while Instant::now() < end {
        while named.try_take(Instant::now()) {
            sent += 1;
        }
        advance(Duration::from_millis(5)).await;
    }
    sent
}

#[test]
fn a_limit_is_read_as_a_decimal_number_within_bounds_and_anything_else_is_invalid() {
    assert_eq!(statement(&[]), LimitStatement::Unlimited);
    for (value, per_second) in
        [("2", 2.0), (" 2.2 ", 2.2), ("0", 0.01), ("0.0001", 0.01), ("1e300", 1_000_000.0)]
    {
        assert_eq!(statement(&[value]), LimitStatement::Limited(limit(per_second)), "{value}");
    }
    for value in ["", "-1", "-0.5", "NaN", "two", "1,5", "2/s", "Fri, 04 Dec 2026 10:00:00 GMT"] {
        assert_eq!(statement(&[value]), LimitStatement::Invalid, "{value}");
    }
    assert_eq!(statement(&["9", "3", "7"]), LimitStatement::Limited(limit(3.0)));
    assert_eq!(statement(&["9", "x"]), LimitStatement::Invalid);
}

/// Guards against requests that go on after a limit was named, until the share is known.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_between_the_naming_of_a_limit_and_the_first_token() {
    let named = NamedRateLimit::default();
    assert!(named.try_take(Instant::now()), "no limit yet");
    named.record_response(LimitStatement::Limited(limit(2.0)), Duration::ZERO);
    assert!(!named.may_send(Instant::now()));
    named.set_share(LimitShare::new(0.5, 2.0));
    assert_eq!(named.opens_in(Instant::now()), Duration::from_secs(2));
    advance(Duration::from_millis(1990)).await;
    assert!(!named.try_take(Instant::now()));
    advance(Duration::from_millis(20)).await;
    assert!(named.try_take(Instant::now()));
    assert!(!named.try_take(Instant::now()), "one token");
}

/// Guards against a burst from the share of an earlier limit.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_when_a_limit_is_named_again() {
    let named = limited(2.0, LimitShare::new(0.5, 2.0));
    advance(Duration::from_secs(60)).await;
    named.record_response(LimitStatement::Unlimited, Duration::ZERO);
    assert!(named.try_take(Instant::now()));
    named.record_response(LimitStatement::Limited(limit(2.0)), Duration::ZERO);
    assert!(!named.try_take(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn a_share_bounds_what_is_sent_after_a_pause_and_over_time() {
    let named = limited(2.0, LimitShare::new(0.5, 2.0));
    advance(Duration::from_secs(60)).await;
    assert_eq!(send_greedily(&named, Duration::from_secs(20)).await, 2 + 9);
}

/// Guards against a limit that a late response to an earlier request lifts, or that stays for good.
#[tokio::test(start_paused = true)]
async fn only_a_response_to_a_later_request_lifts_a_limit() {
    let named = limited(1.0, LimitShare::none(0));
    advance(Duration::from_millis(100)).await;
    named.record_response(LimitStatement::Invalid, Duration::ZERO);
    named.record_response(LimitStatement::Unlimited, Duration::from_millis(150));
    assert_eq!(named.limit(), Some(limit(1.0)), "its request was sent before");
    named.record_response(LimitStatement::Unlimited, Duration::from_millis(50));
    assert_eq!(named.limit(), None);
    assert!(named.try_take(Instant::now()));
}

/// Guards against probes that lift a limit, of upstreams that name it in other responses only.
#[tokio::test(start_paused = true)]
async fn a_probe_without_a_limit_lifts_it_only_if_probes_have_named_it() {
    let named = limited(1.0, LimitShare::none(0));
    advance(Duration::from_millis(100)).await;
    named.record_probe(LimitStatement::Unlimited, Duration::from_millis(1));
    assert_eq!(named.limit(), Some(limit(1.0)));
    named.record_probe(LimitStatement::Limited(limit(1.0)), Duration::from_millis(1));
    advance(Duration::from_millis(100)).await;
    named.record_probe(LimitStatement::Unlimited, Duration::from_millis(1));
    assert_eq!(named.limit(), None);
}

/// Guards against old news of a peer that undo newer ones, and against news that go round.
#[tokio::test(start_paused = true)]
async fn the_newest_news_of_a_limit_count_and_are_shared_by_the_entry_that_got_them() {
    let named = NamedRateLimit::default();
    named.record_peer(None, Duration::ZERO);
    assert!(named.take_news(Instant::now()).is_none());
    named.record_response(LimitStatement::Limited(limit(3.0)), Duration::ZERO);
    let news = named.take_news(Instant::now()).expect("changed");
    assert!(news.is_own && news.is_changed);
    assert!(named.take_news(Instant::now()).is_none(), "told once");
    advance(Duration::from_millis(500)).await;
    named.record_peer(None, Duration::from_millis(600));
    assert_eq!(named.limit(), Some(limit(3.0)), "older than what is known");
    named.record_peer(Some(limit(1.0)), Duration::from_millis(100));
    assert_eq!(named.limit(), Some(limit(1.0)));
    let news = named.take_news(Instant::now()).expect("changed");
    assert!(!news.is_own, "logged, but not sent on");
    advance(Duration::from_secs(2)).await;
    assert!(named.take_news(Instant::now()).is_none(), "nothing new");
    named.record_response(LimitStatement::Limited(limit(1.0)), Duration::ZERO);
    assert!(named.take_news(Instant::now()).is_some_and(|news| news.is_own && !news.is_changed));
}

/// Guards against entries without a share that stop using an upstream for good, and against all of
/// them trying it at the same time.
#[tokio::test(start_paused = true)]
async fn an_entry_without_a_share_tries_one_request_after_a_time_without_news() {
    let first = limited(1.0, LimitShare::none(0));
    let second = limited(1.0, LimitShare::none(1));
    assert_eq!(
        first.opens_in(Instant::now()),
        Duration::from_secs(1),
        "another entry may send then"
    );
    advance(Duration::from_millis(4900)).await;
    assert!(!first.may_send(Instant::now()));
    advance(Duration::from_millis(200)).await;
    assert!(!second.may_send(Instant::now()));
    assert!(first.try_take(Instant::now()));
    assert!(!first.may_send(Instant::now()), "one trial");
    advance(Duration::from_millis(50)).await;
    second.record_peer(Some(limit(1.0)), Duration::ZERO);
    advance(Duration::from_secs(9)).await;
    assert!(!second.may_send(Instant::now()), "a peer's news put the trial off");
}

/// Every entry of a deployment with `counts` entries in each failure domain.
fn deployment(counts: &[usize]) -> Vec<LimitMembers> {
    let domain = |index: usize| FailureDomain::new(&format!("fd-{index}"));
    let domains: Vec<FailureDomain> = (0..counts.len()).map(domain).collect();
    let mut members = Vec::new();
    for (index, count) in counts.iter().enumerate() {
        let vms: Vec<VmId> =
            (0..*count).map(|number| VmId::new(&format!("entry-{index}-{number}"))).collect();
        for own in &vms {
            members.push(LimitMembers {
                own: own.clone(),
                own_domain: domain(index),
                live: vms.iter().filter(|vm| *vm != own).cloned().collect(),
                domains: domains.clone(),
            });
        }
    }
    members
}

proptest! {
    /// Guards against shares that add up to more than the users' rule allows in any window.
    #[test]
    fn all_entries_together_send_no_more_than_the_limit_allows_in_a_window(
        per_second in 0.01..200.0_f64,
        counts in proptest::collection::vec(1..60_usize, 1..7),
    ) {
        let mut most = 0.0;
        let mut rate = 0.0;
        for members in deployment(&counts) {
            let share = members.share("upstream-0", limit(per_second));
            most += (share.burst + share.per_second * WINDOW_SECS).floor();
            rate += share.per_second;
        }
        let allowed = 1.5 * per_second * WINDOW_SECS + ALLOWED_EXTRA;
        prop_assert!(most <= allowed, "{most} requests, allowed {allowed}");
        prop_assert!(rate <= per_second * 1.000_001, "{rate} a second of {per_second}");
    }

    /// Guards against a limit of which the entries leave a large part unused.
    #[test]
    fn with_equal_failure_domains_the_shares_add_up_to_the_limit(
        per_second in 0.01..200.0_f64,
        entries in 1..60_usize,
        domains in 1..7_usize,
    ) {
        let mut rate = 0.0;
        for members in deployment(&vec![entries; domains]) {
            let share = members.share("upstream-0", limit(per_second));
            prop_assert!(share.per_second <= 0.0 || share.burst >= 1.0, "{share:?} never opens");
            rate += share.per_second;
        }
        prop_assert!((rate / per_second - 1.0).abs() < 0.000_001, "{rate} of {per_second}");
    }
}
