//! Grammar and matching of label selectors.

use heatherfall::core::{LabelSelector, LabelSet};
use proptest::prelude::*;

fn labels(pairs: &[(&str, &str)]) -> LabelSet {
    let mut labels = LabelSet::default();
    for (key, value) in pairs {
        labels.insert(key, value);
    }
    labels
}

fn matches(selector: &str, pairs: &[(&str, &str)]) -> bool {
    selector.parse::<LabelSelector>().expect("valid selector").matches(&labels(pairs))
}

#[test]
fn every_requirement_of_a_selector_must_hold() {
    let selector = "app=lookups,tier in (a, b),!canary";
    assert!(matches(selector, &[("app", "lookups"), ("tier", "b")]));
    assert!(!matches(selector, &[("app", "lookups"), ("tier", "c")]));
    assert!(!matches(selector, &[("app", "lookups"), ("tier", "a"), ("canary", "yes")]));
    assert!(!matches(selector, &[("tier", "a")]));
}

#[test]
fn negative_requirements_hold_without_the_key() {
    assert!(matches("tier!=a", &[]));
    assert!(matches("tier notin (a,b)", &[]));
    assert!(!matches("tier notin (a,b)", &[("tier", "b")]));
    assert!(matches("", &[]));
}

#[test]
fn keys_that_begin_like_an_operator_are_keys() {
    assert!(matches("in=x,notin", &[("in", "x"), ("notin", "")]));
}

#[test]
fn a_syntax_error_is_reported_with_its_offset() {
    let error = "app=lookups,tier in (a".parse::<LabelSelector>().expect_err("not a selector");
    assert!(error.offset >= 12, "{error:?}");
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = text.parse::<LabelSelector>();
    }

    #[test]
    fn a_printed_selector_parses_to_the_same_selector(
        parts in prop::collection::vec(("[a-z][a-z0-9-]{0,8}", "[a-z0-9]{1,4}", 0..4_u8), 0..5)
    ) {
        let mut requirements = Vec::new();
        for (key, value, form) in parts {
            requirements.push(match form {
                0 => format!("{key}={value}"),
                1 => format!("{key} notin ({value},z)"),
                2 => format!("!{key}"),
                _ => key,
            });
        }
        let selector: LabelSelector = requirements.join(",").parse().expect("valid selector");
        let reparsed: LabelSelector = selector.to_string().parse().expect("printed selector");
        prop_assert_eq!(selector, reparsed);
    }
}
