//! Quantiles and ratios of measured values.

use std::fmt;
use std::time::Duration;

/// Median, 99th percentile and maximum of a set of time spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quantiles {
    /// Number of spans.
    pub count: usize,
    /// Median.
    pub median: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Longest.
    pub worst: Duration,
}

impl Quantiles {
    /// Computes the quantiles of `spans`; all are zero if there are none.
    pub fn new(spans: impl IntoIterator<Item = Duration>) -> Self {
        let mut spans = spans.into_iter().collect::<Vec<_>>();
        spans.sort_unstable();
        let at = |percent: usize| {
            let index = (spans.len() * percent / 100).min(spans.len().saturating_sub(1));
            spans.get(index).copied().unwrap_or_default()
        };
        Self { count: spans.len(), median: at(50), p99: at(99), worst: at(100) }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |span: Duration| span.as_millis();
        let (median, p99, worst) = (millis(self.median), millis(self.p99), millis(self.worst));
        write!(formatter, "{median} / {p99} / {worst} ms (n={})", self.count)
    }
}

/// Divides two counts; a divisor of zero counts as one.
pub(crate) fn ratio(count: u64, total: u64) -> f64 {
    count as f64 / (total.max(1)) as f64
}
