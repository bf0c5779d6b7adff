//! Runs scenario files: whole stories with a golden transcript.
//!
//! A scenario drives library parts on a paused clock: entry nodes made of a request plane and its
//! control services, upstreams played by a script, and the platform stand-in with its faults. What
//! each side says goes into one transcript in the order in which it happened. `expect-*` commands
//! and the standing checks of [`request::AnswerLog`] fail the test even while transcripts are
//! regenerated.

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
    assert!(std::path::Path::new(&path).is_file(), "no scenario {path}");
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
