//! Deploy files of measured daemons.
use std::fmt::Write;
use std::path::Path;

/// The class of all functions.
pub const CLASS: &str = "check";

/// What a deploy file says.
#[derive(Clone, Debug, Default)]
pub struct DeployFile {
    /// Lines before the first table.
    head: String,
    /// Everything after the class.
    tables: String,
}

impl DeployFile {
    /// The file of a node that keeps its state in memory only.
    pub fn new(node: &str) -> Self {
        let head = format!("node = \"{node}\"\nlisten = \"127.0.0.1:0\"\n");
        DeployFile { head, tables: String::new() }
    }

    /// The memory that the process may take, in MB.
    pub fn memory_mb(mut self, memory_mb: u64) -> Self {
        let _ = writeln!(self.head, "memory_mb = {memory_mb}");
        self
    }

    /// Most descriptors that the process may hold.
    pub fn sockets(mut self, sockets: usize) -> Self {
        let _ = writeln!(self.head, "sockets = {sockets}");
        self
    }

    /// The node's zone.
    pub fn zone(mut self, zone: &str) -> Self {
        let _ = writeln!(self.head, "zone = \"{zone}\"");
        self
    }

    /// Where state is kept.
    pub fn data_dir(mut self, folder: &Path) -> Self {
        let _ = writeln!(self.head, "data_dir = {:?}", folder.display().to_string());
        self
    }

    /// A port for replication, and those of the other nodes.
    pub fn replication(mut self, port: u16, peers: &[u16]) -> Self {
        let addresses: Vec<String> = peers.iter().map(|peer| format!("\"127.0.0.1:{peer}\"")).collect();
        let _ = writeln!(self.tables, "[replication]\nlisten = \"127.0.0.1:{port}\"");
        let _ = writeln!(self.tables, "peers = [{}]", addresses.join(", "));
        self
    }

    /// The part of the memory that functions and workers may take, in percent.
    pub fn catalog_percent(mut self, percent: f64) -> Self {
        let _ = writeln!(self.tables, "[memory.shares]\ncatalog = {percent:?}");
        self
    }

    /// Functions that the file configures.
    pub fn functions(mut self, count: usize) -> Self {
        for number in 0..count {
            let name = function_name(number);
            let _ = writeln!(self.tables, "[[function]]\nname = \"{name}\"\nclass = \"{CLASS}\"");
            let _ = writeln!(self.tables, "memory_mb = 64\nlanes = 4");
        }
        self
    }

    /// Any further tables.
    pub fn tables(mut self, tables: &str) -> Self {
        self.tables.push_str(tables);
        self
    }

    /// The text of the file.
    pub fn text(&self) -> String {
        let class =
            format!("[[class]]\nname = \"{CLASS}\"\naim_ms = 1500\ngive_up_ms = 4000\neffect = \"pure\"\n");
        format!("{}{class}{}", self.head, self.tables)
    }
}

/// The name of a function by its number; as long as names in a large deployment are.
pub fn function_name(number: usize) -> String {
    format!("household-score-{number:06}")
}

/// The memory of a function in a deploy file, and of one that is configured over the API unless told otherwise, in MB.
const MEMORY_MB: f64 = 64.0;

/// The body with which a function is configured over the API.
pub fn function_body() -> Vec<u8> {
    function_body_with_memory(MEMORY_MB)
}

/// The same for a function with another memory.
pub fn function_body_with_memory(memory_mb: f64) -> Vec<u8> {
    format!(r#"{{"class":"{CLASS}","memory_mb":{memory_mb:?},"lanes":4}}"#).into_bytes()
}
