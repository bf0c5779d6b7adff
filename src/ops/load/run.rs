//! Runs a load test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use miette::miette;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::ops::load::arrivals::ArrivalSchedule;
use crate::ops::load::caller::SimulatedCaller;
use crate::ops::load::report::{ClassRecorder, LoadTestReport};
use crate::ops::load::settings::LoadTestSettings;
use crate::util::settings_file::ValidatedSettings;

/// Observer of a run's progress.
pub trait LoadTestProgress {
    /// Called when a request is due, with that time from the start of the run.
    fn advance(&self, elapsed: Duration);
}

/// Ignores the progress.
impl LoadTestProgress for () {
    fn advance(&self, _elapsed: Duration) {}
}

/// Sends the requests of the schedule, waits for all of them and reports their outcomes.
///
/// # Errors
///
/// Returns HF-5003 for invalid settings, and an error if a latency histogram cannot be created.
pub async fn run<P: LoadTestProgress>(
    settings: &LoadTestSettings,
    progress: &P,
) -> miette::Result<LoadTestReport> {
    settings.validate().map_err(|error| {
        let code = crate::core::ResultCode::SettingsContradictory;
        miette!(help = error.help, "{code}: {}: {}", error.field, error.message)
    })?;
    let mut recorders = Vec::with_capacity(settings.classes.len());
    for _ in &settings.classes {
        recorders.push(Mutex::new(ClassRecorder::new()?));
    }
    let recorders = Arc::new(recorders);
    let classes = Arc::new(settings.classes.clone());
    let mut callers = Vec::with_capacity(settings.callers);
    for index in 0..settings.callers {
        callers.push(Arc::new(SimulatedCaller::new(settings, index)));
    }
    let mut requests = JoinSet::new();
    let started = Instant::now();
    for due in ArrivalSchedule::new(settings) {
        tokio::time::sleep_until(started + due.at).await;
        progress.advance(due.at);
        let caller = Arc::clone(&callers[due.caller]);
        let (classes, recorders) = (Arc::clone(&classes), Arc::clone(&recorders));
        requests.spawn(async move {
            let outcome = caller.call(&classes[due.class]).await;
            let latency = (started + due.at).elapsed();
            let recorder = &recorders[due.class];
            recorder.lock().unwrap_or_else(PoisonError::into_inner).record(outcome, latency);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let elapsed = started.elapsed();
    let mut stats = Vec::with_capacity(settings.classes.len());
    for (class, recorder) in settings.classes.iter().zip(recorders.iter()) {
        let recorder = recorder.lock().unwrap_or_else(PoisonError::into_inner);
        stats.push(recorder.stats(&class.name));
    }
    Ok(LoadTestReport::new(settings.clone(), stats, elapsed))
}
