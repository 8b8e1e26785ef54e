//! The simulator's line protocol. A [`Host`] holds one dispatcher per simulated instance, parses input lines into
//! events for it and formats its actions as reply lines.

use corkbay::*;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;

type ParseResult<T> = Result<T, String>;

/// One worker of a `CATALOG`, as its `ENTRY` line names it.
struct CatalogEntry {
    worker: String,
    zone: String,
    kind: String,
    cell: Option<u64>,
    state: WorkerState,
    weight: f64,
    started_at: f64,
}

/// One simulated invoker: its dispatcher, and the mapping between wire names and the dispatcher's ids.
struct Instance {
    dispatcher: Dispatcher,
    names: Names,
    zones: ZoneTable,
    /// Whether `detail` of a `FINISHED` line also carries, from its fourth bit on, how many other calls of the model
    /// are in progress at the worker.
    reports_crowd: bool,
    /// Worker names, indexed by [`WorkerId`].
    worker_names: Vec<String>,
    worker_ids: HashMap<String, WorkerId>,
}

/// All instances of this process and the state of the batch that is being read.
#[derive(Default)]
pub struct Host {
    /// Time of the open batch, in milliseconds; `None` between batches.
    batch_time_ms: Option<f64>,
    target_instance: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    /// Complete catalogs by number.
    catalogs: HashMap<u64, Rc<Vec<CatalogEntry>>>,
    /// The catalog whose entries are being read: its number, its announced size and the entries so far.
    open_catalog: Option<(u64, usize, Vec<CatalogEntry>)>,
    /// Actions to report at the end of the batch, by instance.
    actions: BTreeMap<u64, Vec<Action>>,
}

/// One parsed line: the message name and its `name=value` fields in order.
struct Message<'a>(&'a str, Vec<(&'a str, &'a str)>);

impl<'a> Message<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.1.iter().find(|field| field.0 == name).map(|field| field.1)
    }
    fn required(&self, name: &str) -> ParseResult<&'a str> {
        self.get(name).ok_or_else(|| format!("{}: missing field {name}", self.0))
    }
    fn invalid<T>(&self, name: &str, value: &str) -> ParseResult<T> {
        let excerpt: String = value.chars().take(60).collect();
        Err(format!("{}: invalid value for {name}: {excerpt}", self.0))
    }
    fn optional_number(&self, name: &str) -> ParseResult<Option<f64>> {
        let Some(value) = self.get(name) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => self.invalid(name, value),
        }
    }
    fn number(&self, name: &str) -> ParseResult<f64> {
        self.optional_number(name)?.ok_or_else(|| format!("{}: missing field {name}", self.0))
    }
    fn unsigned_or(&self, name: &str, default: u64) -> ParseResult<u64> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.parse().or_else(|_| self.invalid(name, value))
    }
    fn unsigned(&self, name: &str) -> ParseResult<u64> {
        self.required(name)?;
        self.unsigned_or(name, 0)
    }
    fn flag(&self, name: &str) -> ParseResult<bool> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => self.invalid(name, value),
        }
    }
    fn request_id(&self) -> ParseResult<RequestId> {
        let value = self.required("id")?;
        match u64::from_str_radix(value, 16) {
            Ok(id) if value.len() == 16 => Ok(RequestId(id)),
            _ => self.invalid("id", value),
        }
    }
    fn outcome(&self) -> ParseResult<Outcome> {
        Ok(match self.unsigned("rc")? {
            1 => Outcome::Ok,
            0 => Outcome::Error,
            2 => Outcome::Full,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::Moot,
            8 => Outcome::Miss,
            other => return self.invalid("rc", &other.to_string()),
        })
    }
}

impl Host {
    /// Whether a batch is open: its `TURN` was read, its `END` was not.
    pub fn in_batch(&self) -> bool {
        self.batch_time_ms.is_some()
    }

    /// Handles one line; the `END` of a batch returns the reply to write.
    pub fn handle_line(&mut self, line: &str) -> ParseResult<Option<String>> {
        let (message_name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut message = Message(message_name, Vec::new());
        let mut rest = rest;
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return Err(format!(
                    "{message_name}: expected name=value, found: {}",
                    rest.chars().take(60).collect::<String>()
                ));
            };
            let takes_rest_of_line = message_name == "LAUNCH" && name == "setup";
            let (value, next) =
                if takes_rest_of_line { (tail, "") } else { tail.split_once(' ').unwrap_or((tail, "")) };
            message.1.push((name, value));
            rest = next;
        }
        if let Some((catalog, size, mut entries)) = self.open_catalog.take() {
            if message_name != "ENTRY" {
                return Err(format!("{message_name} where an ENTRY of catalog {catalog} was expected"));
            }
            entries.push(parse_catalog_entry(&message)?);
            if entries.len() < size {
                self.open_catalog = Some((catalog, size, entries));
            } else {
                self.catalogs.insert(catalog, Rc::new(entries));
            }
            return Ok(None);
        }
        if message_name == "TURN" {
            if self.batch_time_ms.is_some() {
                return Err("TURN inside a batch".to_string());
            }
            self.batch_time_ms = Some(message.number("timeMs")?);
            self.target_instance = None;
            return Ok(None);
        }
        let Some(now) = self.batch_time_ms else { return Err(format!("{message_name} outside a batch")) };
        match message_name {
            "END" => {
                self.batch_time_ms = None;
                return Ok(Some(self.format_reply()));
            }
            "TARGET_INSTANCE" => self.target_instance = Some(message.unsigned("who")?),
            "CATALOG" => {
                let (catalog, size) = (message.unsigned("bank")?, message.unsigned("nodesList")? as usize);
                if size == 0 {
                    self.catalogs.insert(catalog, Rc::default());
                } else {
                    self.open_catalog = Some((catalog, size, Vec::new()));
                }
            }
            _ => {
                let Some(instance_number) = self.target_instance else {
                    return Err(format!("{message_name} before TARGET_INSTANCE"));
                };
                self.handle_event(now, instance_number, &message)?;
            }
        }
        Ok(None)
    }

    fn handle_event(&mut self, now: f64, instance_number: u64, message: &Message) -> ParseResult<()> {
        match message.0 {
            "LAUNCH" => {
                let setup: Value = serde_json::from_str(message.required("setup")?)
                    .map_err(|error| format!("LAUNCH: invalid setup: {error}"))?;
                self.instances.insert(instance_number, create_instance(&setup, message.unsigned("salt")?));
                return Ok(());
            }
            "SHUTDOWN" => {
                self.instances.remove(&instance_number);
                self.actions.remove(&instance_number);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&instance_number)
            .ok_or_else(|| format!("{}: instance {instance_number} is not running", message.0))?;
        let event = match message.0 {
            "ANNOUNCE" => {
                let kind = message.required("kind")?;
                let catalog = message.unsigned_or("bank", 0)?;
                if kind == "refused" {
                    Event::Roster(RosterUpdate::Refused)
                } else {
                    let entries = self
                        .catalogs
                        .get(&catalog)
                        .ok_or_else(|| format!("ANNOUNCE: unknown catalog {catalog}"))?;
                    let entries = entries.iter().map(|entry| instance.roster_entry(entry)).collect();
                    Event::Roster(match kind {
                        "changes" => RosterUpdate::Changes(entries),
                        "all" => RosterUpdate::Complete(entries),
                        "remembered" => RosterUpdate::Stored(entries),
                        other => return message.invalid("kind", other),
                    })
                }
            }
            "QUERY" => Event::Request(instance.parse_request(message)?),
            "FIRST" => Event::Started { id: message.request_id()? },
            "FINISHED" => {
                let outcome = message.outcome()?;
                let detail = message.unsigned_or("detail", 0)?;
                Event::Finished(Finished {
                    id: message.request_id()?,
                    attempt: message.unsigned_or("hop", 0)? as u32,
                    worker: instance.worker_id(message.required("worker")?),
                    closed: message.flag("doneFlag")?,
                    outcome,
                    took: message.optional_number("timeTakenMs")?.unwrap_or(0.0),
                    warmth: match detail % 8 {
                        1 => Warmth::Warm,
                        2 => Warmth::Loaded,
                        3 => Warmth::Waited,
                        4 => Warmth::LoadFailed,
                        _ => Warmth::Unknown,
                    },
                    concurrent_calls: (instance.reports_crowd
                        && matches!(outcome, Outcome::Ok | Outcome::Full))
                    .then_some((detail / 8) as u32),
                    report: instance.parse_report(message)?,
                })
            }
            "WITHDRAWN" => Event::Withdrawn { id: message.request_id()? },
            "WAKE" => Event::Timer { token: message.unsigned("handle")? },
            "PING_RESULT" => Event::Probed {
                worker: instance.worker_id(message.required("worker")?),
                outcome: message.outcome()?,
                took: message.optional_number("timeTakenMs")?.unwrap_or(0.0),
                report: instance.parse_report(message)?,
            },
            "LOAD_RESULT" => Event::Loaded {
                worker: instance.worker_id(message.required("worker")?),
                model: ModelId(message.unsigned("function")?),
                outcome: message.outcome()?,
                copies: message.unsigned_or("number", 0)?.min(u64::from(u32::MAX)) as u32,
                took: message.optional_number("timeTakenMs")?.unwrap_or(0.0),
            },
            "NEIGHBOUR_SAYS" => return Ok(()),
            other => return Err(format!("unknown message {}", other.chars().take(60).collect::<String>())),
        };
        instance.dispatcher.handle(now, event, self.actions.entry(instance_number).or_default());
        Ok(())
    }

    fn format_reply(&mut self) -> String {
        let mut text = String::new();
        for (instance_number, actions) in std::mem::take(&mut self.actions) {
            let Some(instance) = self.instances.get(&instance_number) else { continue };
            if !actions.is_empty() {
                let _ = writeln!(text, "AT who={instance_number}");
                for action in &actions {
                    instance.write_action(&mut text, action);
                }
            }
        }
        text.push_str("EOR\n");
        text
    }
}

fn parse_catalog_entry(message: &Message) -> ParseResult<CatalogEntry> {
    Ok(CatalogEntry {
        worker: message.required("worker")?.to_string(),
        zone: message.get("dc").unwrap_or("").to_string(),
        kind: message.get("flavor").unwrap_or("").to_string(),
        cell: message.optional_number("cell")?.filter(|cell| *cell >= 0.0).map(|cell| cell as u64),
        state: match message.required("phase")? {
            "active" => WorkerState::Ready,
            "leaving" => WorkerState::Draining,
            "left" => WorkerState::Removed,
            other => return message.invalid("phase", other),
        },
        weight: message.optional_number("size")?.unwrap_or(1.0),
        started_at: message.optional_number("bornMs")?.unwrap_or(0.0),
    })
}

fn create_instance(setup: &Value, salt: u64) -> Instance {
    let names = Names::from_json(setup);
    Instance {
        dispatcher: Dispatcher::new(Settings::from_json(setup), salt),
        zones: ZoneTable::new(&names),
        names,
        reports_crowd: setup["specifics"]["tellsCrowd"].as_bool().unwrap_or(false),
        worker_names: Vec::new(),
        worker_ids: HashMap::new(),
    }
}

impl Instance {
    fn worker_id(&mut self, name: &str) -> WorkerId {
        if let Some(known) = self.worker_ids.get(name) {
            return *known;
        }
        let id = WorkerId(self.worker_names.len() as u32);
        self.worker_names.push(name.to_string());
        self.worker_ids.insert(name.to_string(), id);
        id
    }

    fn roster_entry(&mut self, entry: &CatalogEntry) -> RosterEntry {
        RosterEntry {
            worker: self.worker_id(&entry.worker),
            name: entry.worker.clone(),
            location: Location { zone: self.zones.enter(&entry.zone), cell: entry.cell },
            kind: position(&self.names.kinds, &entry.kind),
            state: entry.state,
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }

    fn parse_request(&self, message: &Message) -> ParseResult<Request> {
        let class = message.required("kind")?;
        let state_bits = message.unsigned_or("stateBits", 0)?;
        Ok(Request {
            id: message.request_id()?,
            class: position(&self.names.classes, class).map_or_else(|| message.invalid("kind", class), Ok)?,
            tenant: message.get("userGroup").and_then(|name| position(&self.names.tenants, name)),
            model: ModelId(message.unsigned_or("function", 0)?),
            memory: message.optional_number("memoryMb")?.unwrap_or(0.0),
            lanes: message.optional_number("width")?.unwrap_or(1.0),
            load_hint: message.optional_number("coldMs")?,
            cost_hint: message.optional_number("costGuessMs")?.filter(|_| state_bits & 1 == 1),
            expires: message.number("expiresMs")?,
        })
    }

    fn parse_report(&self, message: &Message) -> ParseResult<Option<Report>> {
        let Some(text) = message.get("serverStats").filter(|text| !text.is_empty()) else { return Ok(None) };
        let mut report = Report::default();
        for (field, value) in self.names.fields.iter().zip(text.split(',')) {
            if value.is_empty() {
                continue;
            }
            let number = match value.parse::<f64>() {
                Ok(number) if number.is_finite() => Some(number),
                _ => return message.invalid("serverStats", value),
            };
            match field.as_str() {
                "active" => report.inflight = number,
                "x0" => report.pinned = number,
                "x1" => report.loading = number,
                _ => {}
            }
        }
        Ok(Some(report))
    }

    fn worker_name(&self, worker: WorkerId) -> &str {
        self.worker_names.get(worker.0 as usize).map_or("", String::as_str)
    }

    fn write_action(&self, text: &mut String, action: &Action) {
        let _ = match action {
            Action::Send { id, worker, within } => {
                writeln!(
                    text,
                    "DISPATCH id={:016x} withinMs={within:.3} worker={}",
                    id.0,
                    self.worker_name(*worker)
                )
            }
            Action::Refuse { id, retry_after, .. } => {
                writeln!(text, "SAY_NO id={:016x} comeBackMs={retry_after:.3}", id.0)
            }
            Action::Fail { id, .. } => writeln!(text, "ERROR id={:016x}", id.0),
            Action::Cancel { id, attempt } => writeln!(text, "REVOKE id={:016x} hop={attempt}", id.0),
            Action::Probe { worker } => writeln!(text, "TOUCH worker={}", self.worker_name(*worker)),
            Action::Load { worker, model, copies } => {
                writeln!(
                    text,
                    "ENSURE worker={} function={} number={copies}",
                    self.worker_name(*worker),
                    model.0
                )
            }
            Action::Evict { worker, model } => {
                writeln!(text, "RELEASE_IDLE function={} worker={}", model.0, self.worker_name(*worker))
            }
            Action::Timer { token, delay } => writeln!(text, "SCHEDULE handle={token} inMs={delay:.3}"),
            Action::Subscribe => writeln!(text, "LISTEN on=1"),
        };
    }
}
