//! Runtime checks of invariants.

/// Checks an invariant at run time.
///
/// A violation is logged and counted in `broken_invariants` of the
/// [`PolicyCounts`](crate::PolicyCounts) passed in. It also panics if debug assertions are enabled,
/// as they are in every test and in the soak.
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
