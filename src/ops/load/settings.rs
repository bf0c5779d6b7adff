//! What load to make.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadTestSettings {
    /// Entry nodes that callers ask which addresses to use.
    pub entries: Vec<SocketAddr>,
    /// Addresses that requests go to in turn, without asking; replaces `entries`.
    pub targets: Vec<SocketAddr>,
    /// Failure domains that callers are spread over.
    pub failure_domains: Vec<String>,
    /// Callers, each with its own answer to the question and its own connections.
    pub callers: usize,
    /// Requests a second, on average.
    pub rate: f64,
    /// Length of the run.
    #[serde(with = "duration_text")]
    pub duration: Duration,
    /// Time between two shifts of the rate.
    #[serde(with = "duration_text")]
    pub shift_interval: Duration,
    /// How far the rate shifts: 0 not at all, 1 between none and twice the mean.
    pub shift_depth: f64,
    /// Seed of arrival times, classes and callers.
    pub seed: u64,
    /// Classes of requests.
    pub classes: Vec<LoadTestClass>,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTestClass {
    /// Name in the report.
    pub name: String,
    /// Service that addresses are asked for.
    pub service: String,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path.
    pub path: String,
    /// Share of the requests, relative to the other classes.
    pub weight: f64,
    /// Whether each request carries an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
}

fn default_method() -> String {
    Method::GET.to_string()
}

/// The mixes of classes that come with the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkloadMix {
    /// Lookups and audio, few packs, purchases and donations.
    CauNoi,
    /// Clones, pushes, grades and exam fetches.
    Kitabghar,
    /// Both.
    Both,
}

impl WorkloadMix {
    /// The classes of the mix.
    pub fn classes(self) -> Vec<LoadTestClass> {
        let cau_noi = [
            class("lookup", "lookups", "GET", "/cau-noi/lookup/market", 70.0),
            class("audio", "audio", "GET", "/cau-noi/audio/hello.ogg", 20.0),
            class("pack", "packs", "GET", "/cau-noi/packs/hanoi", 5.0),
            class("purchase", "packs", "POST", "/cau-noi/packs/hanoi", 2.0),
            class("donation", "donations", "POST", "/cau-noi/donations", 3.0),
        ];
        let kitabghar = [
            class("clone", "repo-reads", "GET", "/kitabghar/repos/algebra", 70.0),
            class("push", "pushes", "POST", "/kitabghar/repos/algebra", 10.0),
            class("grade", "gradebook", "POST", "/kitabghar/grades/7", 10.0),
            class("exam", "exam-release", "GET", "/kitabghar/exams/maths", 10.0),
        ];
        match self {
            Self::CauNoi => cau_noi.to_vec(),
            Self::Kitabghar => kitabghar.to_vec(),
            Self::Both => [cau_noi.as_slice(), kitabghar.as_slice()].concat(),
        }
    }
}

fn class(name: &str, service: &str, method: &str, path: &str, weight: f64) -> LoadTestClass {
    LoadTestClass {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        weight,
        keyed: method == "POST",
    }
}

impl Default for LoadTestSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            targets: Vec::new(),
            failure_domains: vec!["fd-a".to_owned(), "fd-b".to_owned(), "fd-c".to_owned()],
            callers: 12,
            rate: 1000.0,
            duration: Duration::from_secs(10),
            shift_interval: Duration::from_millis(10),
            shift_depth: 0.0,
            seed: 1,
            classes: WorkloadMix::Both.classes(),
        }
    }
}

impl ValidatedSettings for LoadTestSettings {
    fn validate(&self) -> Result<(), FieldError> {
        if self.entries.is_empty() && self.targets.is_empty() {
            return Err(fault("entries", "nowhere to send requests", "name an entry or a target"));
        }
        if self.failure_domains.is_empty() || self.callers == 0 {
            return Err(fault("callers", "no caller", "set at least one caller and domain"));
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            return Err(fault("rate", "not a rate", "set requests a second above 0"));
        }
        if !(0.0..=1.0).contains(&self.shift_depth) {
            return Err(fault("shift_depth", "out of range", "set a share between 0 and 1"));
        }
        if self.shift_interval.is_zero() {
            return Err(fault("shift_interval", "no time", "set a time such as \"10ms\""));
        }
        for class in &self.classes {
            if !(class.weight > 0.0 && class.weight.is_finite()) {
                return Err(fault("weight", "not above 0", "leave out classes without requests"));
            }
            if class.method.parse::<Method>().is_err() {
                return Err(fault("method", "not an HTTP method", "use one such as \"GET\""));
            }
            if !class.path.starts_with('/') {
                return Err(fault("path", "not a path", "begin it with a slash"));
            }
        }
        if self.classes.is_empty() {
            return Err(fault("classes", "no class", "name at least one class of requests"));
        }
        Ok(())
    }
}

fn fault(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}
