//! The prefixes of record keys, and which records are replicated to other nodes.

/// Functions.
pub const FUNCTION: &str = "function/";
/// Workers.
pub const WORKER: &str = "worker/";
/// Deferred calls.
pub const INVOCATION: &str = "invocation/";
/// Last seen entries of a node's deploy file; followed by the node's name.
pub const SEED: &str = "seed/";
/// Other records that are not replicated.
pub const LOCAL: &str = "local/";

/// Prefixes of configuration records, in the order in which they are copied to other nodes. Workers come first: they are
/// few, and a node that has no room for all records can serve no function without them.
pub const CONFIGURATION: [&str; 2] = [WORKER, FUNCTION];

/// Whether the record of this key is not replicated to other nodes.
pub fn is_node_local(key: &str) -> bool {
    key.starts_with(SEED) || key.starts_with(LOCAL)
}

/// Whether this is the key of a seed record of another node.
pub fn is_foreign_seed(key: &str, own_node: &str) -> bool {
    let Some(rest) = key.strip_prefix(SEED) else { return false };
    rest.split('/').next() != Some(own_node)
}
