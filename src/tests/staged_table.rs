//! Tests of staged tables and the tournament tree.

use crate::max_tree::MaxTree;
use crate::*;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Compares random staging and commits with plain maps of the values in force.
#[test]
fn staged_values_are_visible_only_after_commit_and_the_max_tree_returns_their_maximum() {
    for seed in 0..2_000 {
        let mut random = WyRand::new_seed(seed);
        let (mut staged, mut max_tree) = (StagedTable::new([1.0, 2.0]), MaxTree::new([1.0, 2.0]));
        let mut current = BTreeMap::from([(0, 1.0), (1, 2.0)]);
        let (mut latest, mut next) = (current.clone(), current.clone());
        for _ in 0..60 {
            let index = random.generate_range(0..12_usize);
            if random.generate_range(0..8) == 0 {
                staged.commit();
                max_tree.commit();
                current = next.clone();
                latest.extend(current.clone());
            } else {
                // Stage a new value, a removal, or the value in force.
                let value = match random.generate_range(0..4) {
                    0 => None,
                    1 => current.get(&index).copied(),
                    _ => Some(random.generate_range(0..100_u32) as f64),
                };
                staged.stage(index, value);
                match value {
                    Some(value) => _ = next.insert(index, value),
                    None => _ = next.remove(&index),
                }
                max_tree.set(index, current.get(&index).copied(), value);
            }
            for index in 0..13 {
                assert_eq!(staged.get(index), current.get(&index), "seed {seed}");
                assert_eq!(staged.latest(index), latest.get(&index), "seed {seed}");
                assert_eq!(staged.next(index), next.get(&index), "seed {seed}");
            }
            let expected_max = current.values().copied().fold(f64::NEG_INFINITY, f64::max);
            assert_eq!(max_tree.max().to_bits(), expected_max.to_bits(), "seed {seed}");
        }
    }
}
