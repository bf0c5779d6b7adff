//! Comparison of two load tests, class by class.

use std::fmt;

use comfy_table::{Table, presets};

use crate::ops::load::report::{ClassStats, LoadTestReport};

/// Two reports side by side; classes are matched by name, and ratios are `after` over `before`.
#[derive(Clone, Debug)]
pub struct LoadTestComparison {
    /// The baseline.
    pub before: LoadTestReport,
    /// The run that is compared with the baseline.
    pub after: LoadTestReport,
}

impl LoadTestComparison {
    fn matching_classes(&self) -> Vec<(&ClassStats, &ClassStats)> {
        let mut pairs = Vec::new();
        for after in &self.after.classes {
            let before = self.before.classes.iter().find(|before| before.name == after.name);
            if let Some(before) = before {
                pairs.push((before, after));
            }
        }
        pairs
    }
}

impl fmt::Display for LoadTestComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN).set_header([
            "class",
            "answered",
            "failed",
            "p50 ms",
            "p50 ratio",
            "p99 ms",
            "p99 ratio",
            "p99.9 ms",
            "p99.9 ratio",
        ]);
        for (before, after) in self.matching_classes() {
            table.add_row([
                after.name.clone(),
                format!("{} -> {}", before.answered, after.answered),
                format!("{} -> {}", before.failed(), after.failed()),
                millis_change(before.p50_us, after.p50_us),
                ratio(before.p50_us, after.p50_us),
                millis_change(before.p99_us, after.p99_us),
                ratio(before.p99_us, after.p99_us),
                millis_change(before.p999_us, after.p999_us),
                ratio(before.p999_us, after.p999_us),
            ]);
        }
        write!(f, "{table}")
    }
}

fn millis_change(before_us: u64, after_us: u64) -> String {
    format!("{:.2} -> {:.2}", before_us as f64 / 1000.0, after_us as f64 / 1000.0)
}

fn ratio(before: u64, after: u64) -> String {
    if before == 0 {
        return "-".to_owned();
    }
    format!("{:.2}", after as f64 / before as f64)
}
