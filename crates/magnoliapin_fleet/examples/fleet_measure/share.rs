//! Weighted max-min shares.

/// Divides `capacity` among teams: each gets at most what it wants, and what is left goes by
/// weight to those that want more.
pub(crate) fn divide(capacity: f64, wants: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut given = vec![0.0; wants.len()];
    let mut left = capacity;
    loop {
        let open: Vec<usize> =
            (0..wants.len()).filter(|team| wants[*team] - given[*team] > 1e-9).collect();
        let weight: f64 = open.iter().map(|team| weights[*team]).sum();
        if open.is_empty() || left <= 1e-9 {
            return given;
        }
        let unit = left / weight;
        let smallest = open
            .iter()
            .map(|team| (wants[*team] - given[*team]) / weights[*team])
            .fold(unit, f64::min);
        for team in open {
            let part = smallest * weights[team];
            given[team] += part;
            left -= part;
        }
    }
}
