//! Timelines of a request from the logs of several entries.

use heatherfall::ops::request_timeline::TimelineBuilder;

const ENTRY_1: &str = r#"
{"time":"2026-01-01T00:00:01.000Z","level":"INFO","part":"config","message":"generation=3 revision=9"}
{"time":"2026-01-01T00:00:02.000Z","level":"INFO","part":"upstream","message":"changed source=store ready=[i-aaaa1111] draining=[] gone=[] kept=[]"}
{"time":"2026-01-01T00:00:03.000Z","level":"INFO","part":"upstream","message":"changed source=peer ready=[i-bbbb2222] draining=[] gone=[] kept=[]"}
{"time":"2026-01-01T00:00:04.000Z","level":"INFO","part":"config","message":"generation=4 revision=12"}
{"time":"2026-01-01T00:00:04.500Z","level":"INFO","part":"request","message":"id=\"r2\" class=c outcome=200 attempts=[First i-aaaa1111 -> Answered]"}
not a line of a log
{"time":"2026-01-01T00:00:05.000Z","level":"INFO","part":"request","message":"id=\"r1\" class=c outcome=HF-1005 attempts=[First i-aaaa1111 -> Unknown(TimedOut) ms=1500]"}
{"time":"2026-01-01T00:00:06.000Z","level":"INFO","part":"config","message":"generation=5 revision=14"}
"#;
const ENTRY_2: &str = r#"
  4.1000 entry-2 {"time":"2026-01-01T00:00:04.100Z","level":"WARN","part":"store","message":"lost reason=refused view_age_ms=900"}
  4.9000 entry-2 {"time":"2026-01-01T00:00:04.900Z","level":"INFO","part":"request","message":"id=\"r1\" class=c outcome=HF-1010 attempts=[] refused First: Crowded"}
"#;

#[test]
fn lines_of_a_request_are_ordered_by_time_and_follow_the_state_of_their_entry() {
    let mut builder = TimelineBuilder::new("r1");
    builder.read("entry-1", ENTRY_1.as_bytes()).expect("read");
    builder.read("joined", ENTRY_2.as_bytes()).expect("read");
    let timeline = builder.finish();
    let entries: Vec<&str> = timeline.steps.iter().map(|step| step.line.entry.as_str()).collect();
    assert_eq!(entries, ["entry-2", "entry-1"]);
    let state_messages = |index: usize| -> Vec<&str> {
        timeline.steps[index].preceding_state.iter().map(|line| line.message.as_str()).collect()
    };
    assert_eq!(state_messages(0), ["lost reason=refused view_age_ms=900"]);
    let [upstream, config] = state_messages(1)[..] else { panic!("{:?}", state_messages(1)) };
    assert!(upstream.contains("i-aaaa1111"), "the line of the chosen upstream");
    assert!(config.contains("generation=4"), "the generation active at the time, not the next one");
}

#[test]
fn a_request_without_lines_has_an_empty_timeline() {
    let mut builder = TimelineBuilder::new("r");
    builder.read("entry-1", ENTRY_1.as_bytes()).expect("read");
    assert!(builder.finish().steps.is_empty(), "r1 and r2 are other requests");
}
