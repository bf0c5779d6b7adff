//! Settings of a load test.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of a load test.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadTestSettings {
    /// Entry nodes that callers query for the addresses of a service.
    pub entries: Vec<SocketAddr>,
    /// Addresses that requests are sent to without a query; overrides `entries`. Each caller begins
    /// with another one and uses the others only if it cannot connect.
    pub targets: Vec<SocketAddr>,
    /// Failure domains that callers are spread over, in turn.
    pub failure_domains: Vec<String>,
    /// Callers, each with its own cached addresses and its own connections.
    pub callers: usize,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    #[serde(with = "duration_text")]
    pub duration: Duration,
    /// Time after which the rate is drawn anew.
    #[serde(with = "duration_text")]
    pub shift_interval: Duration,
    /// Largest relative change of the rate, between 0 (constant) and 1 (from near zero to twice the
    /// mean).
    pub shift_depth: f64,
    /// Seed of the arrival times and of the class and caller of each request.
    pub seed: u64,
    /// Classes of requests that are mixed by weight.
    pub classes: Vec<LoadTestClass>,
}

/// A class of equal requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTestClass {
    /// Name of the class in the report.
    pub name: String,
    /// Service whose addresses callers query.
    pub service: String,
    /// HTTP method; requests other than GET carry an empty JSON object as body.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path, and query if any; begins with a slash.
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

/// Predefined mixes of request classes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkloadMix {
    /// Mostly lookups and audio, with a few packs, purchases and donations.
    CauNoi,
    /// Mostly clones, with pushes, grades and exam fetches.
    Kitabghar,
    /// All classes of both mixes.
    Both,
}

impl WorkloadMix {
    /// Classes of the mix; requests with POST carry an idempotency key.
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
            return Err(field_error(
                "entries",
                "no entry and no target to send requests to",
                "set at least one address",
            ));
        }
        if self.failure_domains.is_empty() || self.callers == 0 {
            return Err(field_error(
                "callers",
                "no callers or no failure domains",
                "set at least one of each",
            ));
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            return Err(field_error(
                "rate",
                "not a finite number above 0",
                "set the mean requests per second",
            ));
        }
        if !(0.0..=1.0).contains(&self.shift_depth) {
            return Err(field_error("shift_depth", "out of range", "set a number between 0 and 1"));
        }
        if self.shift_interval.is_zero() {
            return Err(field_error("shift_interval", "zero", "set a time such as \"10ms\""));
        }
        for class in &self.classes {
            if !(class.weight > 0.0 && class.weight.is_finite()) {
                return Err(field_error(
                    "weight",
                    "not a finite number above 0",
                    "remove classes without requests",
                ));
            }
            if class.method.parse::<Method>().is_err() {
                return Err(field_error("method", "not an HTTP method", "set one such as \"GET\""));
            }
            if !class.path.starts_with('/') {
                return Err(field_error(
                    "path",
                    "does not begin with a slash",
                    "set one such as \"/health\"",
                ));
            }
        }
        if self.classes.is_empty() {
            return Err(field_error("classes", "no classes", "set at least one class of requests"));
        }
        Ok(())
    }
}

fn field_error(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}
