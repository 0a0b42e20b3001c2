//! Weighted max-min fairness.

/// Divides `capacity` among teams: each gets at most its demand, and the capacity that remains
/// goes by weight to teams with unmet demand.
pub(crate) fn divide(capacity: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut allocated = vec![0.0; demands.len()];
    let mut remaining = capacity;
    loop {
        let open: Vec<usize> =
            (0..demands.len()).filter(|team| demands[*team] - allocated[*team] > 1e-9).collect();
        let weight: f64 = open.iter().map(|team| weights[*team]).sum();
        if open.is_empty() || remaining <= 1e-9 {
            return allocated;
        }
        let unit = remaining / weight;
        let smallest = open
            .iter()
            .map(|team| (demands[*team] - allocated[*team]) / weights[*team])
            .fold(unit, f64::min);
        for team in open {
            let grant = smallest * weights[team];
            allocated[team] += grant;
            remaining -= grant;
        }
    }
}
