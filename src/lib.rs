//! Root package of the workspace: binaries and whole-process tests. The library itself is empty.
