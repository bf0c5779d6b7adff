//! Runs scenario files: end-to-end sequences of commands with a golden transcript.
//!
//! A scenario drives library parts on a paused clock: entry nodes with a data plane and control
//! services, scripted upstreams, and the platform stand-in with its faults. Callers, entries,
//! upstreams, operators and log lines are recorded in one transcript in the order of events.
//! `expect-*` commands and the invariants of [`request::ResponseLog`], which are checked after
//! every command, fail the test even while transcripts are regenerated.

mod entry_node;
mod ledger_network;
mod log_capture;
mod node_store;
mod request;
mod scripted_upstream;
mod transcript;
mod world;

use datadriven::TestCase;

use self::world::ScenarioWorld;

/// Runs the scenario in `file`, a name within `tests/testsuite/scenarios/`.
pub(crate) fn run(file: &str) {
    let path = format!("{}/tests/testsuite/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    assert!(std::path::Path::new(&path).is_file(), "scenario file {path} does not exist");
    log_capture::install();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    datadriven::walk(&path, |test_file| {
        let mut world = runtime.block_on(async { ScenarioWorld::new() });
        test_file.run(|case: &mut TestCase| -> Result<String, String> {
            let output = runtime.block_on(world.run(case));
            output.map_err(|error| format!("{}: {error}", case.directive))
        });
        runtime.block_on(world.finish());
    });
}
