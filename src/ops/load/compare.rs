//! Compares two runs, class by class.

use std::fmt;

use comfy_table::{Table, presets};

use crate::ops::load::report::{ClassStats, LoadTestReport};

/// Two runs side by side; ratios are the second to the first.
#[derive(Clone, Debug)]
pub struct LoadTestComparison {
    /// The run that the other is measured by.
    pub before: LoadTestReport,
    /// The other run.
    pub after: LoadTestReport,
}

impl LoadTestComparison {
    fn pairs(&self) -> Vec<(&ClassStats, &ClassStats)> {
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
        for (before, after) in self.pairs() {
            table.add_row([
                after.name.clone(),
                format!("{} -> {}", before.answered, after.answered),
                format!("{} -> {}", before.failed(), after.failed()),
                change(before.p50_us, after.p50_us),
                ratio(before.p50_us, after.p50_us),
                change(before.p99_us, after.p99_us),
                ratio(before.p99_us, after.p99_us),
                change(before.p999_us, after.p999_us),
                ratio(before.p999_us, after.p999_us),
            ]);
        }
        write!(f, "{table}")
    }
}

fn change(before: u64, after: u64) -> String {
    format!("{:.2} -> {:.2}", before as f64 / 1000.0, after as f64 / 1000.0)
}

fn ratio(before: u64, after: u64) -> String {
    if before == 0 {
        return "-".to_owned();
    }
    format!("{:.2}", after as f64 / before as f64)
}
