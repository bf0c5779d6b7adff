//! Sends the load.

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

/// Told how far a run has come.
pub trait LoadTestProgress {
    /// `elapsed` of the run's duration has passed.
    fn advance(&self, elapsed: Duration);
}

/// Nobody watches.
impl LoadTestProgress for () {
    fn advance(&self, _elapsed: Duration) {}
}

/// Makes the load and reports.
///
/// # Errors
///
/// Returns HF-5003 for settings that contradict themselves, and an error if a histogram cannot be
/// made.
pub async fn run<P: LoadTestProgress>(
    settings: &LoadTestSettings,
    progress: &P,
) -> miette::Result<LoadTestReport> {
    settings.validate().map_err(|fault| {
        let code = crate::core::ResultCode::SettingsContradictory;
        miette!(help = fault.help, "{code}: {}: {}", fault.field, fault.message)
    })?;
    let mut tallies = Vec::with_capacity(settings.classes.len());
    for _ in &settings.classes {
        tallies.push(Mutex::new(ClassRecorder::new()?));
    }
    let tallies = Arc::new(tallies);
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
        let (classes, tallies) = (Arc::clone(&classes), Arc::clone(&tallies));
        requests.spawn(async move {
            let outcome = caller.call(&classes[due.class]).await;
            let latency = (started + due.at).elapsed();
            let tally = &tallies[due.class];
            tally.lock().unwrap_or_else(PoisonError::into_inner).record(outcome, latency);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let elapsed = started.elapsed();
    let mut figures = Vec::with_capacity(settings.classes.len());
    for (class, tally) in settings.classes.iter().zip(tallies.iter()) {
        let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        figures.push(tally.figures(&class.name));
    }
    Ok(LoadTestReport::new(settings.clone(), figures, elapsed))
}
