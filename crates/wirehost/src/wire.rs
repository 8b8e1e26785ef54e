//! The line protocol: one [`Host`] keeps the instances of one process apart and turns lines into
//! events and actions into lines.

use corkbay::*;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;

type Res<T> = Result<T, String>;

/// One `ENTRY` of a list, names as they stand on the wire.
struct Entry {
    worker: String,
    zone: String,
    kind: String,
    cell: i64,
    state: WorkerState,
    weight: f64,
    started_at: f64,
}

/// One simulated front end with the names it knows.
struct Instance {
    dispatcher: Dispatcher,
    names: Names,
    crowd: bool,
    workers: Vec<String>,
    numbers: HashMap<String, WorkerId>,
}

/// All instances of this process and the batch being read.
#[derive(Default)]
pub struct Host {
    now: Option<f64>,
    who: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    banks: HashMap<u64, Rc<Vec<Entry>>>,
    filling: Option<(u64, usize, Vec<Entry>)>,
    replies: BTreeMap<u64, Vec<Action>>,
}

/// The name=value parts of a line.
struct Parts<'a>(&'a str, Vec<(&'a str, &'a str)>);

impl<'a> Parts<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.1.iter().find(|part| part.0 == name).map(|part| part.1)
    }
    fn text(&self, name: &str) -> Res<&'a str> {
        self.get(name).ok_or_else(|| format!("{} lacks {name}", self.0))
    }
    fn bad<T>(&self, name: &str, value: &str) -> Res<T> {
        let shown: String = value.chars().take(60).collect();
        Err(format!("{}: bad value for {name}: {shown}", self.0))
    }
    fn maybe_number(&self, name: &str) -> Res<Option<f64>> {
        let Some(value) = self.get(name) else { return Ok(None) };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => self.bad(name, value),
        }
    }
    fn number(&self, name: &str) -> Res<f64> {
        self.maybe_number(name)?.ok_or_else(|| format!("{} lacks {name}", self.0))
    }
    fn whole_or(&self, name: &str, default: u64) -> Res<u64> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.parse().or_else(|_| self.bad(name, value))
    }
    fn whole(&self, name: &str) -> Res<u64> {
        self.text(name)?;
        self.whole_or(name, 0)
    }
    fn flag(&self, name: &str) -> Res<bool> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => self.bad(name, value),
        }
    }
    fn request(&self) -> Res<RequestId> {
        let value = self.text("id")?;
        match u64::from_str_radix(value, 16) {
            Ok(id) if value.len() == 16 => Ok(RequestId(id)),
            _ => self.bad("id", value),
        }
    }
    fn outcome(&self) -> Res<Outcome> {
        Ok(match self.whole("rc")? {
            1 => Outcome::Ok,
            0 => Outcome::Error,
            2 => Outcome::Full,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::Moot,
            8 => Outcome::Miss,
            other => return self.bad("rc", &other.to_string()),
        })
    }
}

impl Host {
    /// Whether a batch has begun and not ended.
    pub fn in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Takes one line; a whole batch gives the reply.
    pub fn line(&mut self, line: &str) -> Res<Option<String>> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut parts = Parts(word, Vec::new());
        let mut rest = rest;
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return Err(format!(
                    "{word}: no name=value in: {}",
                    rest.chars().take(60).collect::<String>()
                ));
            };
            let to_end = word == "LAUNCH" && name == "setup";
            let (value, next) = if to_end { (tail, "") } else { tail.split_once(' ').unwrap_or((tail, "")) };
            parts.1.push((name, value));
            rest = next;
        }
        if let Some((bank, size, mut entries)) = self.filling.take() {
            if word != "ENTRY" {
                return Err(format!("{word} where an ENTRY of list {bank} was due"));
            }
            entries.push(entry(&parts)?);
            if entries.len() < size {
                self.filling = Some((bank, size, entries));
            } else {
                self.banks.insert(bank, Rc::new(entries));
            }
            return Ok(None);
        }
        if word == "TURN" {
            if self.now.is_some() {
                return Err("TURN inside a batch".to_string());
            }
            self.now = Some(parts.number("timeMs")?);
            self.who = None;
            return Ok(None);
        }
        let Some(now) = self.now else { return Err(format!("{word} outside a batch")) };
        match word {
            "END" => {
                self.now = None;
                return Ok(Some(self.reply()));
            }
            "TARGET_INSTANCE" => self.who = Some(parts.whole("who")?),
            "CATALOG" => {
                let (bank, size) = (parts.whole("bank")?, parts.whole("nodesList")? as usize);
                if size == 0 {
                    self.banks.insert(bank, Rc::default());
                } else {
                    self.filling = Some((bank, size, Vec::new()));
                }
            }
            _ => {
                let Some(who) = self.who else { return Err(format!("{word} before TARGET_INSTANCE")) };
                self.event(now, who, &parts)?;
            }
        }
        Ok(None)
    }

    fn event(&mut self, now: f64, who: u64, parts: &Parts) -> Res<()> {
        match parts.0 {
            "LAUNCH" => {
                let setup: Value = serde_json::from_str(parts.text("setup")?)
                    .map_err(|e| format!("LAUNCH: bad setup: {e}"))?;
                self.instances.insert(who, launch(&setup, parts.whole("salt")?));
                return Ok(());
            }
            "SHUTDOWN" => {
                self.instances.remove(&who);
                self.replies.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&who).ok_or_else(|| format!("{}: instance {who} is not up", parts.0))?;
        let event = match parts.0 {
            "ANNOUNCE" => {
                let kind = parts.text("kind")?;
                let bank = parts.whole_or("bank", 0)?;
                if kind == "refused" {
                    Event::Roster(RosterUpdate::Refused)
                } else {
                    let list = self.banks.get(&bank).ok_or_else(|| format!("ANNOUNCE: no list {bank}"))?;
                    let entries = list.iter().map(|entry| instance.roster_entry(entry)).collect();
                    Event::Roster(match kind {
                        "changes" => RosterUpdate::Changes(entries),
                        "all" => RosterUpdate::Complete(entries),
                        "remembered" => RosterUpdate::Stored(entries),
                        other => return parts.bad("kind", other),
                    })
                }
            }
            "QUERY" => Event::Request(instance.request(parts)?),
            "FIRST" => Event::Started { id: parts.request()? },
            "FINISHED" => {
                let outcome = parts.outcome()?;
                let detail = parts.whole_or("detail", 0)?;
                Event::Finished(Finished {
                    id: parts.request()?,
                    attempt: parts.whole_or("hop", 0)? as u32,
                    worker: instance.number(parts.text("worker")?),
                    closed: parts.flag("doneFlag")?,
                    outcome,
                    took: parts.maybe_number("timeTakenMs")?.unwrap_or(0.0),
                    warmth: match detail % 8 {
                        1 => Warmth::Warm,
                        2 => Warmth::Loaded,
                        3 => Warmth::Waited,
                        4 => Warmth::LoadFailed,
                        _ => Warmth::Unknown,
                    },
                    concurrent_calls: (instance.crowd && matches!(outcome, Outcome::Ok | Outcome::Full))
                        .then_some((detail / 8) as u32),
                    report: instance.report(parts)?,
                })
            }
            "WITHDRAWN" => Event::Withdrawn { id: parts.request()? },
            "WAKE" => Event::Timer { token: parts.whole("handle")? },
            "PING_RESULT" => Event::Probed {
                worker: instance.number(parts.text("worker")?),
                outcome: parts.outcome()?,
                took: parts.maybe_number("timeTakenMs")?.unwrap_or(0.0),
                report: instance.report(parts)?,
            },
            "LOAD_RESULT" => Event::Loaded {
                worker: instance.number(parts.text("worker")?),
                model: ModelId(parts.whole("function")?),
                outcome: parts.outcome()?,
                copies: parts.whole_or("number", 0)?.min(u64::from(u32::MAX)) as u32,
                took: parts.maybe_number("timeTakenMs")?.unwrap_or(0.0),
            },
            "NEIGHBOUR_SAYS" => return Ok(()),
            other => return Err(format!("unknown message {}", other.chars().take(60).collect::<String>())),
        };
        instance.dispatcher.handle(now, event, self.replies.entry(who).or_default());
        Ok(())
    }

    fn reply(&mut self) -> String {
        let mut text = String::new();
        for (who, actions) in std::mem::take(&mut self.replies) {
            let Some(instance) = self.instances.get(&who) else { continue };
            if !actions.is_empty() {
                let _ = writeln!(text, "AT who={who}");
                for action in &actions {
                    instance.write(&mut text, action);
                }
            }
        }
        text.push_str("EOR\n");
        text
    }
}

fn entry(parts: &Parts) -> Res<Entry> {
    Ok(Entry {
        worker: parts.text("worker")?.to_string(),
        zone: parts.get("dc").unwrap_or("").to_string(),
        kind: parts.get("flavor").unwrap_or("").to_string(),
        cell: parts.maybe_number("cell")?.unwrap_or(-1.0) as i64,
        state: match parts.text("phase")? {
            "active" => WorkerState::Ready,
            "leaving" => WorkerState::Draining,
            "left" => WorkerState::Removed,
            other => return parts.bad("phase", other),
        },
        weight: parts.maybe_number("size")?.unwrap_or(1.0),
        started_at: parts.maybe_number("bornMs")?.unwrap_or(0.0),
    })
}

fn launch(setup: &Value, salt: u64) -> Instance {
    Instance {
        dispatcher: Dispatcher::new(Settings::from_json(setup), salt),
        names: Names::from_json(setup),
        crowd: setup["specifics"]["tellsCrowd"].as_bool().unwrap_or(false),
        workers: Vec::new(),
        numbers: HashMap::new(),
    }
}

impl Instance {
    fn number(&mut self, name: &str) -> WorkerId {
        if let Some(known) = self.numbers.get(name) {
            return *known;
        }
        let number = WorkerId(self.workers.len() as u32);
        self.workers.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    fn roster_entry(&mut self, entry: &Entry) -> RosterEntry {
        RosterEntry {
            worker: self.number(&entry.worker),
            name: entry.worker.clone(),
            zone: position(&self.names.zones, &entry.zone).unwrap_or(usize::MAX),
            kind: position(&self.names.kinds, &entry.kind).unwrap_or(usize::MAX),
            cell: entry.cell,
            state: entry.state,
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }

    fn request(&self, parts: &Parts) -> Res<Request> {
        let class = parts.text("kind")?;
        let bits = parts.whole_or("stateBits", 0)?;
        Ok(Request {
            id: parts.request()?,
            class: position(&self.names.classes, class).map_or_else(|| parts.bad("kind", class), Ok)?,
            tenant: parts.get("userGroup").and_then(|name| position(&self.names.tenants, name)),
            model: ModelId(parts.whole_or("function", 0)?),
            memory: parts.maybe_number("memoryMb")?.unwrap_or(0.0),
            lanes: parts.maybe_number("width")?.unwrap_or(1.0),
            load_hint: parts.maybe_number("coldMs")?,
            cost_hint: parts.maybe_number("costGuessMs")?.filter(|_| bits & 1 == 1),
            expires: parts.number("expiresMs")?,
        })
    }

    fn report(&self, parts: &Parts) -> Res<Option<Report>> {
        let Some(text) = parts.get("serverStats").filter(|text| !text.is_empty()) else { return Ok(None) };
        let mut report = Report::default();
        for (field, value) in self.names.fields.iter().zip(text.split(',')) {
            if value.is_empty() {
                continue;
            }
            let number = match value.parse::<f64>() {
                Ok(number) if number.is_finite() => Some(number),
                _ => return parts.bad("serverStats", value),
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

    fn name(&self, worker: WorkerId) -> &str {
        self.workers.get(worker.0 as usize).map_or("", String::as_str)
    }

    fn write(&self, text: &mut String, action: &Action) {
        let _ = match action {
            Action::Send { id, worker, within } => {
                writeln!(text, "DISPATCH id={:016x} withinMs={within:.3} worker={}", id.0, self.name(*worker))
            }
            Action::Refuse { id, retry_after, .. } => {
                writeln!(text, "SAY_NO id={:016x} comeBackMs={retry_after:.3}", id.0)
            }
            Action::Fail { id, .. } => writeln!(text, "ERROR id={:016x}", id.0),
            Action::Cancel { id, attempt } => writeln!(text, "REVOKE id={:016x} hop={attempt}", id.0),
            Action::Probe { worker } => writeln!(text, "TOUCH worker={}", self.name(*worker)),
            Action::Load { worker, model, copies } => {
                writeln!(text, "ENSURE worker={} function={} number={copies}", self.name(*worker), model.0)
            }
            Action::Evict { worker, model } => {
                writeln!(text, "RELEASE_IDLE function={} worker={}", model.0, self.name(*worker))
            }
            Action::Timer { token, delay } => writeln!(text, "SCHEDULE handle={token} inMs={delay:.3}"),
            Action::Subscribe => writeln!(text, "LISTEN on=1"),
        };
    }
}
