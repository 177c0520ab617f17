//! Root package: the `amaranth-*` programs, end-to-end tests and benchmarks.
