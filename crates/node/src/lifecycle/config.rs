//! The configuration on the hosting platform. An error names the key at fault in one line.
use crate::wire::command_channel::ChannelEvent;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with its value.
    pub reason: String,
}

impl ConfigError {
    /// Creates an error at a key; line breaks in the description become spaces.
    pub fn new(key: impl Into<String>, reason: impl fmt::Display) -> Self {
        let reason = reason.to_string().replace('\n', " ");
        ConfigError { key: key.into(), reason }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// The source of the platform's configuration, read at the start and at each reload.
#[derive(Clone, Debug)]
pub struct Source {
    /// Path of the configuration file.
    pub path: PathBuf,
    /// Listen address for clients, which overrides the file's.
    pub listen: Option<String>,
    /// Listen address for operators, which overrides the file's.
    pub admin: Option<String>,
    /// A folder that this process and another one of the same invoker can both write to.
    pub shared_folder: Option<PathBuf>,
}

impl Source {
    /// Reads the environment variables.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        let variable = |name: &str| std::env::var(name).ok();
        Ok(Source {
            path: path.into(),
            listen: variable("PROXY_LISTEN"),
            admin: variable("PROXY_ADMIN"),
            shared_folder: variable("TMPDIR").map(PathBuf::from),
        })
    }

    /// Reads the file's current content.
    pub fn read(&self) -> Result<PlatformConfig, ConfigError> {
        let text = std::fs::read_to_string(&self.path);
        let text = text.map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        PlatformConfig::read(&text, self.listen.as_deref(), self.admin.as_deref())
    }
}

/// The platform's configuration.
#[derive(Debug)]
pub struct PlatformConfig {
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for operators; without one there is no operators' interface.
    pub admin: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Memory limit of the process, in MB.
    pub memory_mb: u64,
    /// Address of the command channel.
    pub channel: SocketAddr,
    /// Number of the last known event of the command channel.
    pub cursor: u64,
    /// The known events, in order.
    pub known_events: Vec<ChannelEvent>,
    /// The settings object.
    pub settings: Value,
}

/// Default maximum number of file descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Default memory limit.
const DEFAULT_MEMORY_MB: u64 = 128;

impl PlatformConfig {
    /// Parses the configuration; `listen` and `admin` override its own values if given.
    pub fn read(text: &str, listen: Option<&str>, admin: Option<&str>) -> Result<Self, ConfigError> {
        let config: Value =
            serde_json::from_str(text).map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
        let listen = listen.or_else(|| config["listen"].as_str());
        let known: Known =
            Deserialize::deserialize(&config["known"]).map_err(|error| ConfigError::new("known", error))?;
        let settings = &config["settings"];
        if settings["classes"].as_array().is_none_or(Vec::is_empty) {
            return Err(ConfigError::new("settings.classes", "must be a list of at least one class"));
        }
        let admin = match (admin, &config["admin"]) {
            (Some(admin), _) => Some(address("admin", Some(admin))?),
            (None, Value::Null) => None,
            (None, Value::String(admin)) => Some(address("admin", Some(admin))?),
            (None, other) => {
                return Err(ConfigError::new("admin", format!("{other} is not an address with a port")))
            }
        };
        Ok(PlatformConfig {
            listen: address("listen", listen)?,
            admin,
            seed: seed(&config["seed"])?,
            sockets: config["limits"]["sockets"].as_u64().map_or(DEFAULT_SOCKETS, |limit| limit as usize),
            memory_mb: config["limits"]["memory_mb"].as_f64().map_or(DEFAULT_MEMORY_MB, |limit| limit as u64),
            channel: address("channel", config["channel"].as_str())?,
            cursor: known.cursor,
            known_events: known.cmds,
            settings: settings.clone(),
        })
    }
}

/// The events of the command channel that are known at the start.
#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    cursor: u64,
    #[serde(default)]
    cmds: Vec<ChannelEvent>,
}

/// Parses the address at a key.
pub fn address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| ConfigError::new(key, "missing"))?;
    text.parse().map_err(|_| ConfigError::new(key, format!("{text:?} is not an address with a port")))
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    let invalid = || ConfigError::new("seed", "must be a number or up to 16 hex digits");
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).map_err(|_| invalid()),
        Value::Number(number) => number.as_u64().ok_or_else(invalid),
        _ => Err(invalid()),
    }
}
