//! Reads Apache's worker files, mod_jk's `workers.properties` and mod_proxy_balancer's `<Proxy
//! balancer://>` sections, into `[[worker]]` entries that a deploy file's `workers_file` can name.
use super::deploy::{WorkerEntry, WorkersFile};
use crate::memory::catalog::{check_name, State};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;
use std::process::ExitCode;

/// Something in a file, by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    /// The line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// What is the matter.
    pub what: String,
}

impl fmt::Display for Remark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

/// What a file comes to.
#[derive(Debug, Default, PartialEq)]
pub struct Imported {
    /// Its workers.
    pub file: WorkersFile,
    /// Directives that mean nothing here and were passed over.
    pub unsupported: Vec<Remark>,
}

type Res<T> = Result<T, Remark>;

fn error<T>(line: usize, what: impl Into<String>) -> Res<T> {
    Err(Remark { line, what: what.into() })
}

/// Imports a file, to another or to standard output. An error changes nothing and exits with 2.
pub fn run(path: &Path, output: Option<&Path>) -> ExitCode {
    match convert(path, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("corkbay import: {}: {what}", path.display());
            ExitCode::from(2)
        }
    }
}

fn convert(path: &Path, output: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    let imported = read(&std::fs::read_to_string(path)?).map_err(|remark| remark.to_string())?;
    let text = toml::to_string(&imported.file)?;
    match output {
        None => print!("{text}"),
        Some(output) => {
            // Whole or not at all: the old file stands until the new one is written.
            let mut fresh = output.as_os_str().to_owned();
            fresh.push(".new");
            std::fs::write(&fresh, text)?;
            std::fs::rename(&fresh, output)?;
        }
    }
    for remark in &imported.unsupported {
        eprintln!("{}: {remark}", path.display());
    }
    Ok(())
}

/// Reads either form; a file with a section or a balancer's member is mod_proxy's.
pub fn read(text: &str) -> Res<Imported> {
    let starts = |word: &str| {
        let begins =
            |line: &str| line.trim_start().get(..word.len()).is_some_and(|s| s.eq_ignore_ascii_case(word));
        text.lines().any(begins)
    };
    let imported = if starts("<Proxy") || starts("BalancerMember") || starts("ProxyPass") {
        proxy(text)?
    } else {
        properties(text)?
    };
    if imported.file.workers.is_empty() {
        return error(0, "no workers in it");
    }
    Ok(imported)
}

struct Property {
    line: usize,
    value: String,
}

/// Lines that are joined by a backslash at their end, with the number of their first.
fn logical_lines(text: &str) -> Vec<(usize, String)> {
    let mut lines: Vec<(usize, String)> = Vec::new();
    let mut open = false;
    for (at, line) in text.lines().enumerate() {
        let (part, goes_on) = match line.trim().strip_suffix('\\') {
            Some(part) => (part, true),
            None => (line.trim(), false),
        };
        match lines.last_mut().filter(|_| open) {
            Some(last) => {
                last.1.push(' ');
                last.1.push_str(part.trim());
            }
            None => lines.push((at + 1, part.trim().to_string())),
        }
        open = goes_on;
    }
    lines.retain(|line| !line.1.is_empty() && !line.1.starts_with('#'));
    lines
}

fn properties(text: &str) -> Res<Imported> {
    let mut imported = Imported::default();
    let mut macros: BTreeMap<String, String> = BTreeMap::new();
    let mut workers: BTreeMap<String, BTreeMap<String, Property>> = BTreeMap::new();
    let mut order: Vec<String> = Vec::new();
    for (line, text) in logical_lines(text) {
        let Some((name, value)) = text.split_once('=') else {
            return error(line, format!("{text:?} is no name=value"));
        };
        let (name, value) = (name.trim(), expand(line, value.trim(), &macros)?);
        let Some(rest) = name.strip_prefix("worker.") else {
            macros.insert(name.to_string(), value);
            continue;
        };
        match rest.split_once('.') {
            Some((worker, attribute)) => {
                if !workers.contains_key(worker) {
                    order.push(worker.to_string());
                }
                let attributes = workers.entry(worker.to_string()).or_default();
                attributes.insert(attribute.to_string(), Property { line, value });
            }
            // Which workers the web server itself maps has no meaning here: all members are workers.
            None if rest == "list" => {}
            None => imported.unsupported.push(Remark { line, what: format!("{name} is not supported") }),
        }
    }
    let mut templates = BTreeSet::new();
    for attributes in workers.values() {
        if let Some(reference) = attributes.get("reference") {
            let name = reference.value.trim_start_matches("worker.").to_string();
            if !workers.contains_key(&name) {
                return error(reference.line, format!("worker.{name} is not there"));
            }
            templates.insert(name);
        }
    }
    let members = members(&workers)?;
    for name in order {
        let own = &workers[&name];
        let found = |key: &str| attribute(&workers, &name, key, 0);
        let kind = found("type");
        match kind.map_or("ajp13", |kind| kind.value.as_str()) {
            "ajp13" | "ajp14" => {}
            "lb" | "status" => {
                for (key, property) in own {
                    if !matches!(key.as_str(), "type" | "balance_workers" | "balanced_workers") {
                        imported.unsupported.push(not_supported(&name, key, property.line));
                    }
                }
                continue;
            }
            other => {
                let line = kind.map_or(0, |kind| kind.line);
                return error(line, format!("type {other:?} is none of ajp13, ajp14, lb, status"));
            }
        }
        // What others refer to and no balancer names is a template.
        if templates.contains(&name) && !members.contains(&name) {
            continue;
        }
        let line = own.values().map(|property| property.line).min().unwrap_or(0);
        check_name(&name).or_else(|what| error(line, what.to_string()))?;
        let host = found("host").map_or("localhost", |host| host.value.as_str());
        let port = match found("port") {
            None => 8009,
            Some(port) => parse_port(port.line, &port.value)?,
        };
        let weight = match found("lbfactor") {
            None => 1.0,
            Some(factor) => parse_weight(factor.line, &factor.value)?,
        };
        let state = jk_state(&found)?;
        let zone = found("domain").map(|domain| domain.value.clone()).unwrap_or_default();
        for (key, property) in own {
            let known = [
                "type",
                "host",
                "port",
                "lbfactor",
                "activation",
                "disabled",
                "stopped",
                "domain",
                "reference",
            ];
            if !known.contains(&key.as_str()) {
                imported.unsupported.push(not_supported(&name, key, property.line));
            }
        }
        let address = address(host, port);
        let kind = String::new();
        imported.file.workers.push(WorkerEntry { name, address, zone, kind, cell: 0, weight, state });
    }
    imported.unsupported.sort_by_key(|remark| remark.line);
    Ok(imported)
}

fn not_supported(worker: &str, key: &str, line: usize) -> Remark {
    Remark { line, what: format!("worker.{worker}.{key} is not supported") }
}

/// Puts the values of earlier names in place of `$(name)`.
fn expand(line: usize, value: &str, macros: &BTreeMap<String, String>) -> Res<String> {
    let mut text = String::new();
    let mut rest = value;
    while let Some((before, after)) = rest.split_once("$(") {
        let Some((name, behind)) = after.split_once(')') else {
            return error(line, "$( without )");
        };
        let Some(known) = macros.get(name) else {
            return error(line, format!("$({name}) was not set before"));
        };
        text.push_str(before);
        text.push_str(known);
        rest = behind;
    }
    text.push_str(rest);
    Ok(text)
}

/// The workers that balancers name.
fn members(workers: &BTreeMap<String, BTreeMap<String, Property>>) -> Res<BTreeSet<String>> {
    let mut members = BTreeSet::new();
    for attributes in workers.values() {
        for key in ["balance_workers", "balanced_workers"] {
            let Some(list) = attributes.get(key) else { continue };
            for name in list.value.split([',', ' ', '\t']).filter(|name| !name.is_empty()) {
                if !workers.contains_key(name) {
                    return error(list.line, format!("worker.{name} is not there"));
                }
                members.insert(name.to_string());
            }
        }
    }
    Ok(members)
}

/// An attribute of a worker, or of the one that it refers to.
fn attribute<'a>(
    workers: &'a BTreeMap<String, BTreeMap<String, Property>>,
    name: &str,
    key: &str,
    depth: usize,
) -> Option<&'a Property> {
    let own = workers.get(name)?;
    own.get(key).or_else(|| {
        let reference = own.get("reference").filter(|_| depth < workers.len())?;
        attribute(workers, reference.value.trim_start_matches("worker."), key, depth + 1)
    })
}

fn jk_state<'a>(found: &impl Fn(&str) -> Option<&'a Property>) -> Res<State> {
    if let Some(activation) = found("activation") {
        return match activation.value.to_ascii_lowercase().as_str() {
            "active" | "a" => Ok(State::Up),
            "disabled" | "d" => Ok(State::Draining),
            "stopped" | "s" => Ok(State::Removed),
            other => {
                error(activation.line, format!("activation {other:?} is none of active, disabled, stopped"))
            }
        };
    }
    let on = |key: &str| {
        let set = |property: &Property| {
            matches!(property.value.to_ascii_lowercase().as_str(), "1" | "true" | "on" | "yes" | "t" | "y")
        };
        found(key).is_some_and(set)
    };
    Ok(match (on("stopped"), on("disabled")) {
        (true, _) => State::Removed,
        (_, true) => State::Draining,
        _ => State::Up,
    })
}

fn proxy(text: &str) -> Res<Imported> {
    let mut imported = Imported::default();
    let mut section: Option<(usize, bool)> = None;
    for (line, text) in logical_lines(text) {
        let words = words(line, &text)?;
        let directive = words[0].to_ascii_lowercase();
        match directive.as_str() {
            "<proxy" => {
                if section.is_some() {
                    return error(line, "<Proxy> inside <Proxy>");
                }
                let url = words.get(1).map_or("", String::as_str).trim_end_matches('>');
                let balancer = is_balancer(url);
                if !balancer {
                    imported.unsupported.push(Remark { line, what: format!("<Proxy {url}> is no balancer") });
                }
                section = Some((line, balancer));
            }
            "</proxy>" => {
                if section.take().is_none() {
                    return error(line, "</Proxy> without <Proxy>");
                }
            }
            "balancermember" => {
                let named = words.get(1).is_some_and(|word| is_balancer(word));
                if section.is_none_or(|section| !section.1) && !named {
                    return error(line, "BalancerMember outside a balancer");
                }
                let rest = &words[if named { 2 } else { 1 }..];
                member(line, rest, &mut imported)?;
            }
            _ => imported.unsupported.push(Remark { line, what: format!("{} is not supported", words[0]) }),
        }
    }
    match section {
        Some((line, _)) => error(line, "<Proxy> is not closed"),
        None => Ok(imported),
    }
}

fn is_balancer(url: &str) -> bool {
    url.get(..11).is_some_and(|scheme| scheme.eq_ignore_ascii_case("balancer://"))
}

/// The words of a directive; double quotes hold one together.
fn words(line: usize, text: &str) -> Res<Vec<String>> {
    let (mut words, mut word, mut quoted, mut begun) = (Vec::new(), String::new(), false, false);
    for letter in text.chars() {
        match letter {
            '"' => (quoted, begun) = (!quoted, true),
            letter if letter.is_whitespace() && !quoted => {
                if std::mem::take(&mut begun) {
                    words.push(std::mem::take(&mut word));
                }
            }
            letter => {
                word.push(letter);
                begun = true;
            }
        }
    }
    if quoted {
        return error(line, "a quote is not closed");
    }
    if begun {
        words.push(word);
    }
    Ok(words)
}

fn member(line: usize, words: &[String], imported: &mut Imported) -> Res<()> {
    let Some(url) = words.first() else { return error(line, "BalancerMember without a URL") };
    let Some((scheme, rest)) = url.split_once("://") else {
        return error(line, format!("{url:?} is no URL"));
    };
    let default = match scheme.to_ascii_lowercase().as_str() {
        "http" => 80,
        "ajp" => 8009,
        other => return error(line, format!("scheme {other:?} is neither http nor ajp")),
    };
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    if !path.is_empty() {
        imported.unsupported.push(Remark { line, what: format!("the path /{path} is not supported") });
    }
    let bracket = authority.rfind(']').map_or(0, |at| at + 1);
    let (host, port) = match authority[bracket..].rfind(':') {
        Some(at) => (&authority[..bracket + at], parse_port(line, &authority[bracket + at + 1..])?),
        None => (authority, default),
    };
    if host.is_empty() {
        return error(line, format!("{url:?} names no host"));
    }
    let (mut weight, mut state, mut name) = (1.0, State::Up, None);
    for word in &words[1..] {
        let Some((key, value)) = word.split_once('=') else {
            return error(line, format!("{word:?} is no key=value"));
        };
        match key.to_ascii_lowercase().as_str() {
            "loadfactor" => weight = parse_weight(line, value)?,
            "route" => name = Some(value.to_string()),
            "status" => state = proxy_state(line, value, imported)?,
            _ => imported.unsupported.push(Remark { line, what: format!("{key} is not supported") }),
        }
    }
    let name = name.unwrap_or_else(|| format!("{}:{port}", host.trim_matches(['[', ']'])));
    check_name(&name).or_else(|what| error(line, what.to_string()))?;
    if imported.file.workers.iter().any(|worker| worker.name == name) {
        return error(line, format!("a worker {name:?} stands there already"));
    }
    let (zone, kind) = (String::new(), String::new());
    let address = address(host, port);
    imported.file.workers.push(WorkerEntry { name, address, zone, kind, cell: 0, weight, state });
    Ok(())
}

fn proxy_state(line: usize, value: &str, imported: &mut Imported) -> Res<State> {
    let (mut state, mut on) = (State::Up, true);
    for flag in value.chars() {
        match flag.to_ascii_uppercase() {
            '+' => on = true,
            '-' => on = false,
            // Disabled or draining: what is there is finished.
            'D' | 'N' if on && state == State::Up => state = State::Draining,
            'S' if on => state = State::Removed,
            'D' | 'N' | 'S' => {}
            'I' | 'H' | 'R' | 'E' | 'C' => {
                imported.unsupported.push(Remark { line, what: format!("status {flag} is not supported") });
            }
            _ => return error(line, format!("status {flag:?} is unknown")),
        }
    }
    Ok(state)
}

fn parse_port(line: usize, text: &str) -> Res<u16> {
    match text.parse() {
        Ok(port) if port > 0 => Ok(port),
        _ => error(line, format!("{text:?} is no port")),
    }
}

fn parse_weight(line: usize, text: &str) -> Res<f64> {
    match text.parse::<f64>() {
        Ok(weight) if weight.is_finite() && weight > 0.0 => Ok(weight),
        _ => error(line, format!("{text:?} is no load factor")),
    }
}

fn address(host: &str, port: u16) -> String {
    // An IPv6 address without brackets is mod_jk's way to write one.
    if host.contains(':') && !host.starts_with('[') {
        format!("[{host}]:{port}")
    } else {
        format!("{host}:{port}")
    }
}

#[cfg(test)]
mod tests;
