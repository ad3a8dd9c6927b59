//! Model of requests that leave their zone.

use std::time::Duration;

/// Guards against a model that no longer fits the decisions that it runs.
#[test]
fn the_model_runs() {
    chestnutvalve_bench::zones::run(&[8], Duration::from_secs(3)).unwrap();
}
