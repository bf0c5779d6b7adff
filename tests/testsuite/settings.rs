//! Settings files: defaults, documented keys and diagnostics of errors.

use heatherfall::ops::node_settings::NodeSettings;
use heatherfall::util::settings_file;
use snapbox::{assert_data_eq, str};

const VALID: &str = include_str!("../../examples/node.jsonc");

fn diagnostic(text: &str) -> String {
    let error =
        settings_file::parse::<NodeSettings>("node.jsonc", text).expect_err("invalid settings");
    let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none());
    let mut output = String::new();
    handler.render_report(&mut output, error.as_ref()).expect("report renders");
    output
}

#[test]
fn the_example_settings_are_valid() {
    let settings: NodeSettings = settings_file::parse("node.jsonc", VALID).expect("valid");
    assert_eq!(settings.vm, "entry-1");
}

#[test]
fn an_unknown_key_is_located_in_the_diagnostic() {
    let text = VALID.replace("\"timeout\": \"2s\"", "\"timeoot\": \"2s\"");
    assert_data_eq!(
        diagnostic(&text),
        str![[r#"
  x HF-5002: unknown field `timeoot`, expected `address` or `timeout` at line 6 column 54 (at platform.timeoot)
   ,-[node.jsonc:6:54]
 5 |   "listen": { "callers": "127.0.0.1:8081", "admin": "127.0.0.1:9081", "peers": "127.0.0.1:10081" },
 6 |   "platform": { "address": "127.0.0.1:7000", "timeoot": "2s" },
   :                                                      ^
   :                                                      `-- here
 7 |   "peers": { "key_file": "/etc/heatherfall/peer.keys", "seeds": [] }
   `----
  help: docs/SETTINGS.md lists every key, its type and default

"#]]
    );
}

#[test]
fn a_listener_address_used_twice_is_rejected() {
    let text = VALID.replace("9081", "8081");
    let output = diagnostic(&text);
    assert!(output.contains("HF-5003"), "{output}");
    assert!(output.contains("is also the address for callers"), "{output}");
}

#[test]
fn an_invalid_address_and_a_wrong_type_are_rejected() {
    for (from, to) in [("127.0.0.1:7000", "nowhere"), ("\"2s\"", "2")] {
        let output = diagnostic(&VALID.replace(from, to));
        assert!(output.contains("HF-5002"), "{output}");
    }
}

/// Every settings key as `a.b`, with its default as text, or `required` for keys without one.
fn keys_in_code() -> std::collections::BTreeMap<String, String> {
    let text = r#"{ "vm": "x", "failure_domain": "x",
        "listen": { "callers": "127.0.0.1:1", "admin": "127.0.0.1:2", "peers": "127.0.0.1:3" },
        "platform": { "address": "127.0.0.1:4" }, "peers": { "key_file": "/x" } }"#;
    let given: serde_json::Value = serde_json::from_str(text).expect("json");
    let settings: NodeSettings = settings_file::parse("node.jsonc", text).expect("valid");
    let value = serde_json::to_value(settings).expect("settings serialize");
    let mut keys = std::collections::BTreeMap::new();
    flatten("", &value, Some(&given), &mut keys);
    keys
}

fn flatten(
    path: &str,
    value: &serde_json::Value,
    given: Option<&serde_json::Value>,
    keys: &mut std::collections::BTreeMap<String, String>,
) {
    let Some(map) = value.as_object() else {
        let default = match value {
            _ if given.is_some() => "required".to_owned(),
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        keys.insert(path.to_owned(), default);
        return;
    };
    for (name, value) in map {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        flatten(&path, value, given.and_then(|given| given.get(name)), keys);
    }
}

#[test]
fn the_documented_keys_and_defaults_match_the_code() {
    let page = include_str!("../../docs/SETTINGS.md");
    let mut documented = std::collections::BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(|cell| cell.trim().trim_matches('`')).collect();
        documented.insert(cells[1].to_owned(), cells[3].to_owned());
    }
    assert_eq!(documented, keys_in_code());
}
