//! Benchmark and fault-injection program; see the crate `chestnutvalve-bench`.

fn main() -> std::process::ExitCode {
    chestnutvalve_bench::command::main()
}
