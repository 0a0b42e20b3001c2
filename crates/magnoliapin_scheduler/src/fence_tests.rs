//! Tests of the numbers that targets obey as fences.

use crate::fence::next_generation;
use crate::fence::raised_fence;

/// Guards against a fence that the next leader's is not higher than, also where nodes of the version
/// before have taken over, which count generations one by one.
#[test]
fn fences_are_lower_than_those_of_the_next_leader() {
    for generation in [1, 2, 100, 255, 256, 257, 511, 5_000] {
        let mut fence = generation;
        while let Some(raised) = raised_fence(generation, fence) {
            assert!(raised > fence);
            fence = raised;
        }
        assert!(next_generation(generation) > fence, "after generation {generation}");
    }
}
