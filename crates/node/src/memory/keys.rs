//! The prefixes of record keys, and which records leave their node.

/// Functions.
pub const FUNCTION: &str = "function/";
/// Workers.
pub const WORKER: &str = "worker/";
/// Deferred calls.
pub const INVOCATION: &str = "invocation/";
/// What the deploy file of a node last said; followed by the node's name.
pub const SEED: &str = "seed/";
/// Other records that only their own node needs.
pub const LOCAL: &str = "local/";

/// Prefixes of configuration, in the order of their keys.
pub const CONFIGURATION: [&str; 2] = [FUNCTION, WORKER];

/// Whether a record under this key never leaves its node.
pub fn is_node_local(key: &str) -> bool {
    key.starts_with(SEED) || key.starts_with(LOCAL)
}

/// Whether this is the key of what another node's deploy file said.
pub fn is_foreign_seed(key: &str, own_node: &str) -> bool {
    let Some(rest) = key.strip_prefix(SEED) else { return false };
    rest.split('/').next() != Some(own_node)
}
