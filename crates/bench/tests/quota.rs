//! Model of customers' limits.

use std::time::Duration;

/// Guards against a model that no longer fits the decisions that it runs.
#[test]
fn the_model_runs() {
    chestnutvalve_bench::quota::run(&[30], Duration::from_secs(1)).unwrap();
}
