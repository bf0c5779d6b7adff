//! Configurations that are sent to other entries in parts.

use std::net::SocketAddr;
use std::time::Duration;

use heatherfall::fleet::config_parts::{ConfigPart, PartAssembly, relay_groups, split_config};
use heatherfall::platform::ObjectEnvelope;
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use proptest::prelude::*;
use serde_json::json;
use tokio::time::{Instant, advance};

use crate::support::fleet::{CONFIG_KIND, CONFIG_NAME, TestEntry, put, put_upstream};

/// Largest payload of a datagram between entries, without its HMAC.
const MAX_PAYLOAD_BYTES: usize = (32 << 10) - 16;

/// Writes a configuration with this many random names, and returns it.
async fn put_large(store: &StandinPlatform, generation: u64, names: usize) -> ObjectEnvelope {
    let mut random = SeededRandom::new(generation);
    let mut routes = Vec::with_capacity(names);
    for _ in 0..names {
        let name = format!("{:08x}", random.bits() as u32);
        routes.push(json!([name, "reads.example", format!("/{name}/"), "safe", "2000ms", 2]));
    }
    let spec = json!({ "generation": generation, "routes": routes });
    put(store, CONFIG_KIND, CONFIG_NAME, spec).await
}

fn parts_of(object: &ObjectEnvelope) -> Vec<ConfigPart> {
    split_config(object).expect("not too large")
}

/// Guards against parts that do not fit in a datagram.
#[tokio::test(start_paused = true)]
async fn a_configuration_of_1400_routes_takes_a_few_datagrams() {
    let object = put_large(&StandinPlatform::default(), 1, 1400).await;
    assert!(serde_json::to_vec(&object).expect("serializes").len() > MAX_PAYLOAD_BYTES);
    let parts = parts_of(&object);
    assert!(parts.len() <= 4, "{}", parts.len());
    for part in parts {
        assert!(serde_json::to_vec(&part).expect("serializes").len() < MAX_PAYLOAD_BYTES * 3 / 4);
    }
}

/// Guards against an entry that keeps the old configuration because the store refuses it, though its
/// peers have read a new one that is too large for one message.
#[tokio::test(start_paused = true)]
async fn an_entry_that_cannot_reach_the_store_activates_a_configuration_from_its_parts() {
    let store = StandinPlatform::default();
    put_large(&store, 1, 10).await;
    put_upstream(&store, "a").await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(2)).await;
    let parts = parts_of(&put_large(&store, 2, 6000).await);
    let (last, first) = parts.split_last().expect("several parts");
    for part in first.iter().rev() {
        entry.state.apply_config_part(part.clone());
    }
    assert_eq!(entry.generation(), Some(1));
    entry.state.apply_config_part(last.clone());
    assert_eq!(entry.generation(), Some(2));
    // An older configuration must not replace it.
    let older = parts_of(&ObjectEnvelope { version: 1, ..put_large(&store, 1, 10).await });
    for part in older {
        entry.state.apply_config_part(part);
    }
    assert_eq!(entry.generation(), Some(2));
}

/// Guards against an entry that waits for a lost part for good.
#[tokio::test(start_paused = true)]
async fn missing_parts_are_awaited_for_less_than_a_second() {
    let object = put_large(&StandinPlatform::default(), 1, 6000).await;
    let mut assembly = PartAssembly::default();
    assert!(!assembly.is_pending(Instant::now()));
    assembly.add(parts_of(&object).remove(0), Instant::now());
    assert!(assembly.is_pending(Instant::now()));
    advance(Duration::from_secs(1)).await;
    assert!(!assembly.is_pending(Instant::now()));
}

proptest! {
    /// Guards against a process that ends, or a wrong configuration, after malformed parts.
    #[test]
    fn malformed_parts_never_make_a_configuration(
        parts in prop::collection::vec(("[A-Za-z0-9+/=]{0,40}", 0_u32..4, 0_u32..5, 1_u64..3), 0..20),
    ) {
        let mut assembly = PartAssembly::default();
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let now = runtime.block_on(async { Instant::now() });
        for (data, index, count, version) in parts {
            let part = ConfigPart {
                era: Default::default(), version, index, count, data, relay_to: Vec::new(),
            };
            prop_assert!(assembly.add(part, now).is_none());
        }
    }

    /// Guards against entries that no relay serves, or that get every part twice.
    #[test]
    fn relay_groups_name_each_recipient_once_with_short_lists(count in 0_u16..400) {
        let mut recipients = Vec::new();
        for port in 0..count {
            recipients.push(SocketAddr::from(([10, 0, 0, 1], port)));
        }
        let groups = relay_groups(&recipients);
        let mut named = Vec::new();
        for group in &groups {
            named.push(group.relay);
            named.extend(&group.members);
            prop_assert!(group.members.len() <= 20);
        }
        prop_assert!(groups.len() <= 20);
        prop_assert_eq!(named, recipients);
    }
}
