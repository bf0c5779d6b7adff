//! Settings files and their diagnostics.

use heatherfall::ops::node_settings::NodeSettings;
use heatherfall::util::settings_file;
use snapbox::{assert_data_eq, str};

const VALID: &str = include_str!("../../examples/node.jsonc");

fn diagnostic(text: &str) -> String {
    let error = settings_file::parse::<NodeSettings>("node.jsonc", text).expect_err("a fault");
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
fn an_unknown_key_is_pointed_at() {
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
fn a_contradiction_is_pointed_at() {
    let text = VALID.replace("9081", "8081");
    let output = diagnostic(&text);
    assert!(output.contains("HF-5003"), "{output}");
    assert!(output.contains("is also the address for callers"), "{output}");
}

#[test]
fn a_bad_address_and_a_wrong_type_are_refused() {
    for (from, to) in [("127.0.0.1:7000", "nowhere"), ("\"2s\"", "2")] {
        let output = diagnostic(&VALID.replace(from, to));
        assert!(output.contains("HF-5002"), "{output}");
    }
}
