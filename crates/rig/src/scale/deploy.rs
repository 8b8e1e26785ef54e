//! Deploy files of the daemons under test.
use std::fmt::Write;
use std::path::Path;

/// The class of all functions.
pub const CLASS: &str = "check";

/// Builder of a deploy file.
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

    /// Sets the memory limit of the process, in MB.
    pub fn memory_mb(mut self, memory_mb: u64) -> Self {
        let _ = writeln!(self.head, "memory_mb = {memory_mb}");
        self
    }

    /// Sets the maximum number of descriptors of the process.
    pub fn sockets(mut self, sockets: usize) -> Self {
        let _ = writeln!(self.head, "sockets = {sockets}");
        self
    }

    /// Sets the zone of the node.
    pub fn zone(mut self, zone: &str) -> Self {
        let _ = writeln!(self.head, "zone = \"{zone}\"");
        self
    }

    /// Sets the folder in which state is stored.
    pub fn data_dir(mut self, folder: &Path) -> Self {
        let _ = writeln!(self.head, "data_dir = {:?}", folder.display().to_string());
        self
    }

    /// Sets the replication port of the node and those of its peers.
    pub fn replication(mut self, port: u16, peers: &[u16]) -> Self {
        let addresses: Vec<String> = peers.iter().map(|peer| format!("\"127.0.0.1:{peer}\"")).collect();
        let _ = writeln!(self.tables, "[replication]\nlisten = \"127.0.0.1:{port}\"");
        let _ = writeln!(self.tables, "peers = [{}]", addresses.join(", "));
        self
    }

    /// Sets the share of the memory for functions and workers, in percent.
    pub fn catalog_percent(mut self, percent: f64) -> Self {
        let _ = writeln!(self.tables, "[memory.shares]\ncatalog = {percent:?}");
        self
    }

    /// Adds `count` functions.
    pub fn functions(mut self, count: usize) -> Self {
        for number in 0..count {
            let name = function_name(number);
            let _ = writeln!(self.tables, "[[function]]\nname = \"{name}\"\nclass = \"{CLASS}\"");
            let _ = writeln!(self.tables, "memory_mb = 64\nlanes = 4");
        }
        self
    }

    /// Appends further tables.
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

/// The name of a function by its number; its length is typical of names in a large deployment.
pub fn function_name(number: usize) -> String {
    format!("household-score-{number:06}")
}

/// Memory of a function in a deploy file, and the default of one that is configured over the API, in MB.
const MEMORY_MB: f64 = 64.0;

/// Request body that configures a function over the API with the default memory.
pub fn function_body() -> Vec<u8> {
    function_body_with_memory(MEMORY_MB)
}

/// Request body that configures a function with the given memory, in MB, over the API.
pub fn function_body_with_memory(memory_mb: f64) -> Vec<u8> {
    format!(r#"{{"class":"{CLASS}","memory_mb":{memory_mb:?},"lanes":4}}"#).into_bytes()
}
