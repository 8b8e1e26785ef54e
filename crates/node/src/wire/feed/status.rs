//! Status report of a node's role in the distribution of configuration.
use super::{FeedReport, FeedServer, FollowerHandle, FollowerReport};
use crate::state::keys::FUNCTION;
use crate::wire::replication::Mesh;
use corkbay_feed::{BucketNumber, FollowerLag, FollowerStage, FollowerState};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;

/// A node's role in the distribution of configuration.
#[derive(Default)]
pub struct Role {
    /// Replication with the node's peers, if it has any.
    pub mesh: Option<Arc<Mesh>>,
    /// Its role in the feed.
    pub feed: FeedRole,
}

/// A node's role in the feed.
#[derive(Default)]
pub enum FeedRole {
    /// The node takes no part in the feed.
    #[default]
    Off,
    /// The node serves the feed.
    Control(Arc<FeedServer>),
    /// The node follows a control node.
    Follower(FollowerHandle),
}

/// Marks configuration as read-only on a follower.
pub struct ReadOnly {
    /// The address where configuration can be changed, if known.
    pub control_api: Option<SocketAddr>,
}

impl Role {
    /// Set if functions and workers can't be changed on this node.
    pub fn read_only(&self) -> Option<ReadOnly> {
        match &self.feed {
            FeedRole::Follower(follower) => Some(ReadOnly { control_api: follower.control_api() }),
            FeedRole::Off | FeedRole::Control(_) => None,
        }
    }

    /// The report of the feed, on a control node.
    pub fn feed_report(&self) -> Option<FeedReport> {
        match &self.feed {
            FeedRole::Control(server) => Some(server.report()),
            FeedRole::Off | FeedRole::Follower(_) => None,
        }
    }

    /// The report of the follower, on a follower.
    pub fn follower_report(&self) -> Option<FollowerReport> {
        match &self.feed {
            FeedRole::Follower(follower) => Some(follower.report()),
            FeedRole::Off | FeedRole::Control(_) => None,
        }
    }

    /// Whether this node has a complete configuration. Only a follower may lack one.
    pub fn is_ready(&self) -> bool {
        is_ready(self.follower_report().as_ref())
    }

    /// Whether a function that this node doesn't hold may exist, as there was no room for some records.
    pub fn may_lack_function(&self, name: &str) -> bool {
        if self.mesh.as_ref().is_some_and(|mesh| mesh.lacks_records()) {
            return true;
        }
        let bucket = BucketNumber::of(&format!("{FUNCTION}{name}"));
        self.follower_report().is_some_and(|report| report.left_out().contains(bucket))
    }

    /// Adds the role's entries to a node's status.
    pub fn add_status(&self, status: &mut Value) {
        if let Some(mesh) = &self.mesh {
            status["replication"] = json!({
                "sent_bytes": mesh.sent_bytes(),
                "left_out_records": mesh.left_out_records(),
                "peers_with_more": mesh.peers_with_more(),
            });
        }
        if let Some(report) = self.feed_report() {
            status["feed"] = feed_status(&report);
        }
        let follower = self.follower_report();
        status["ready"] = is_ready(follower.as_ref()).into();
        if let Some(report) = follower {
            status["follow"] = follower_status(&report);
        }
    }
}

/// Whether a node has a complete configuration; `follower` is its report if it is a follower.
fn is_ready(follower: Option<&FollowerReport>) -> bool {
    follower.is_none_or(FollowerReport::is_ready)
}

fn feed_status(report: &FeedReport) -> Value {
    let counters = report.counters;
    json!({
        "position": report.position,
        "followers": report.followers,
        "oldest": report.oldest.as_ref().map(lag_status),
        "laggards": report.laggards,
        "named_laggards": report.named_laggards.iter().map(lag_status).collect::<Vec<_>>(),
        "sent_bytes": report.sent_bytes,
        "received_bytes": report.received_bytes,
        "copies": {
            "running": report.copies_running,
            "waiting": report.copies_waiting,
            "begun": counters.copies,
        },
        "resumes": counters.resumes,
        "comparisons": counters.comparisons,
        "differences": counters.differences,
        "difference_bytes": counters.difference_bytes,
        "changes": counters.changes,
        "busy": counters.busy,
        "compacted": counters.compacted,
        "incomplete": report.incomplete,
        "repairs": counters.repairs,
        "repair_bytes": counters.repair_bytes,
    })
}

fn lag_status(lag: &FollowerLag) -> Value {
    json!({
        "node": lag.node,
        "stage": stage_name(lag.stage),
        "applied": lag.applied,
        "behind": lag.behind,
        "left_out_buckets": lag.left_out_buckets,
        "behind_ms": lag.behind_ms.round(),
        "silent_ms": lag.silent_ms.round(),
    })
}

fn stage_name(stage: FollowerStage) -> &'static str {
    match stage {
        FollowerStage::Greeting => "greeting",
        FollowerStage::Comparing => "comparing",
        FollowerStage::Copying => "copying",
        FollowerStage::Following => "following",
    }
}

fn follower_status(report: &FollowerReport) -> Value {
    let counters = report.counters;
    json!({
        "control": report.control,
        "state": state_name(report.state),
        "position": report.position(),
        "behind": report.behind,
        "left_out": {
            "buckets": report.left_out().len(),
            "records": counters.left_out_records,
        },
        "silent_ms": report.silent_ms.map(f64::round),
        "connections": counters.connections,
        "comparisons": counters.comparisons,
        "copied_records": counters.copied_records,
        "changed_records": counters.changed_records,
        "failed_writes": counters.failed_writes,
        "received_bytes": counters.received_bytes,
        "sent_bytes": counters.sent_bytes,
    })
}

fn state_name(state: FollowerState) -> &'static str {
    match state {
        FollowerState::Waiting { .. } => "waiting",
        FollowerState::Connecting { .. } => "connecting",
        FollowerState::Greeting { .. } => "greeting",
        FollowerState::Comparing { .. } => "comparing",
        FollowerState::Following { .. } => "following",
    }
}
