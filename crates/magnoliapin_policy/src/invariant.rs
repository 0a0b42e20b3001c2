//! Assertions of what must always hold.

/// Asserts an invariant of the product inside the program.
///
/// A broken invariant panics where debug assertions are on, which includes every test and the
/// soak. Elsewhere it is counted in `broken_invariants` of the [`PolicyCounts`](crate::PolicyCounts)
/// passed in, and logged.
macro_rules! invariant {
    ($counts:expr, $condition:expr, $($message:tt)+) => {
        $counts.checked_invariants += 1;
        if !$condition {
            $counts.broken_invariants += 1;
            log::error!("event=invariant_broken what={:?}", format!($($message)+));
            if cfg!(debug_assertions) {
                panic!($($message)+);
            }
        }
    };
}

pub(crate) use invariant;
