//! What a process is told at its start. An error names the key at fault in one line.
use crate::wire::channel::News;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl ConfigError {
    /// An error at a key.
    pub fn new(key: impl Into<String>, what: impl fmt::Display) -> Self {
        let what = what.to_string().replace('\n', " ");
        ConfigError { key: key.into(), what }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.what)
    }
}

impl std::error::Error for ConfigError {}

/// Where the platform's configuration stands: read at the start, and again at each reload.
#[derive(Clone, Debug)]
pub struct Source {
    /// The file.
    pub path: PathBuf,
    /// Where clients connect, whatever the file says.
    pub listen: Option<String>,
    /// Where operators call, whatever the file says.
    pub admin: Option<String>,
    /// What this process and the one beside it can both write in.
    pub shared: Option<PathBuf>,
}

impl Source {
    /// What the environment names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        let variable = |name: &str| std::env::var(name).ok();
        Ok(Source {
            path: path.into(),
            listen: variable("PROXY_LISTEN"),
            admin: variable("PROXY_ADMIN"),
            shared: variable("TMPDIR").map(PathBuf::from),
        })
    }

    /// Reads the file as it is now.
    pub fn read(&self) -> Result<Platform, ConfigError> {
        let text = std::fs::read_to_string(&self.path);
        let text = text.map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        Platform::read(&text, self.listen.as_deref(), self.admin.as_deref())
    }
}

/// The platform's configuration.
#[derive(Debug)]
pub struct Platform {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; nowhere where it is not told.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors that the process may hold.
    pub sockets: usize,
    /// Most memory that the process may take.
    pub memory_mb: u64,
    /// Where the command channel listens.
    pub channel: SocketAddr,
    /// Number of the last event known.
    pub cursor: u64,
    /// The events known, in order.
    pub known: Vec<News>,
    /// The settings object.
    pub settings: Value,
}

/// Descriptors where the configuration sets no limit.
const SOCKETS: usize = 1024;
/// Memory where it sets none.
const MEMORY_MB: u64 = 128;

impl Platform {
    /// Reads the configuration's text; `listen` and `admin` override its own where given.
    pub fn read(text: &str, listen: Option<&str>, admin: Option<&str>) -> Result<Self, ConfigError> {
        let config: Value =
            serde_json::from_str(text).map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        let listen = listen.or_else(|| config["listen"].as_str());
        let known: Known =
            Deserialize::deserialize(&config["known"]).map_err(|error| ConfigError::new("known", error))?;
        let settings = &config["settings"];
        if settings["classes"].as_array().is_none_or(Vec::is_empty) {
            return Err(ConfigError::new("settings.classes", "no list of classes"));
        }
        let admin = match (admin, &config["admin"]) {
            (Some(admin), _) => Some(address("admin", Some(admin))?),
            (None, Value::Null) => None,
            (None, Value::String(admin)) => Some(address("admin", Some(admin))?),
            (None, odd) => return Err(ConfigError::new("admin", format!("{odd} is no address and port"))),
        };
        Ok(Platform {
            listen: address("listen", listen)?,
            admin,
            seed: seed(&config["seed"])?,
            sockets: config["limits"]["sockets"].as_u64().map_or(SOCKETS, |limit| limit as usize),
            memory_mb: config["limits"]["memory_mb"].as_f64().map_or(MEMORY_MB, |limit| limit as u64),
            channel: address("channel", config["channel"].as_str())?,
            cursor: known.cursor,
            known: known.cmds,
            settings: settings.clone(),
        })
    }
}

#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    cursor: u64,
    #[serde(default)]
    cmds: Vec<News>,
}

/// The address at a key.
pub fn address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| ConfigError::new(key, "missing"))?;
    text.parse().map_err(|_| ConfigError::new(key, format!("{text:?} is no address and port")))
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    let bad = || ConfigError::new("seed", "neither a number nor up to 16 hex digits");
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).map_err(|_| bad()),
        Value::Number(number) => number.as_u64().ok_or_else(bad),
        _ => Err(bad()),
    }
}
