//! Converts Apache's worker files (mod_jk's `workers.properties` and mod_proxy_balancer's `<Proxy balancer://>`
//! sections) into `[[worker]]` entries for the `workers_file` of a deploy file.
use super::deploy::{WorkerEntry, WorkersFile};
use crate::state::catalog::{check_name, State};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;
use std::process::ExitCode;

/// A note or an error about a line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineNote {
    /// The line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The message.
    pub message: String,
}

impl fmt::Display for LineNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// The result of an import.
#[derive(Debug, Default, PartialEq)]
pub struct Imported {
    /// Its workers.
    pub file: WorkersFile,
    /// Directives that are not supported and were ignored.
    pub unsupported: Vec<LineNote>,
}

/// The result of reading a part of a file; an error names the line.
type ImportResult<T> = Result<T, LineNote>;

fn error_at<T>(line: usize, message: impl Into<String>) -> ImportResult<T> {
    Err(LineNote { line, message: message.into() })
}

/// Imports a file and writes the result to `output` or to standard output. On an error nothing is written and the exit
/// code is 2.
pub fn run(path: &Path, output: Option<&Path>) -> ExitCode {
    match convert(path, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("corkbay import: {}: {error}", path.display());
            ExitCode::from(2)
        }
    }
}

fn convert(path: &Path, output: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    let imported = read(&std::fs::read_to_string(path)?).map_err(|note| note.to_string())?;
    let text = toml::to_string(&imported.file)?;
    match output {
        None => print!("{text}"),
        Some(output) => {
            // Replaces the output atomically: the old file is kept until the new one is complete.
            let mut temporary = output.as_os_str().to_owned();
            temporary.push(".new");
            std::fs::write(&temporary, text)?;
            std::fs::rename(&temporary, output)?;
        }
    }
    for note in &imported.unsupported {
        eprintln!("{}: {note}", path.display());
    }
    Ok(())
}

/// Reads either format. A file with a `<Proxy`, `BalancerMember` or `ProxyPass` directive is mod_proxy's, any other
/// mod_jk's.
pub fn read(text: &str) -> ImportResult<Imported> {
    let has_directive = |word: &str| {
        let starts_with_word =
            |line: &str| line.trim_start().get(..word.len()).is_some_and(|s| s.eq_ignore_ascii_case(word));
        text.lines().any(starts_with_word)
    };
    let imported = if has_directive("<Proxy") || has_directive("BalancerMember") || has_directive("ProxyPass")
    {
        read_proxy(text)?
    } else {
        read_properties(text)?
    };
    if imported.file.workers.is_empty() {
        return error_at(0, "no workers in it");
    }
    Ok(imported)
}

/// The value of a property in `workers.properties`, with its line.
struct Property {
    line: usize,
    value: String,
}

/// Joins lines that are continued by a backslash at their end and drops comments and empty lines. Each line comes with
/// the number of its first physical line.
fn logical_lines(text: &str) -> Vec<(usize, String)> {
    let mut lines: Vec<(usize, String)> = Vec::new();
    let mut continued = false;
    for (index, line) in text.lines().enumerate() {
        let (part, continues) = match line.trim().strip_suffix('\\') {
            Some(part) => (part, true),
            None => (line.trim(), false),
        };
        match lines.last_mut().filter(|_| continued) {
            Some(last) => {
                last.1.push(' ');
                last.1.push_str(part.trim());
            }
            None => lines.push((index + 1, part.trim().to_string())),
        }
        continued = continues;
    }
    lines.retain(|line| !line.1.is_empty() && !line.1.starts_with('#'));
    lines
}

/// Reads a `workers.properties` file.
fn read_properties(text: &str) -> ImportResult<Imported> {
    let mut imported = Imported::default();
    let mut macros: BTreeMap<String, String> = BTreeMap::new();
    let mut workers: BTreeMap<String, BTreeMap<String, Property>> = BTreeMap::new();
    let mut order: Vec<String> = Vec::new();
    for (line, text) in logical_lines(text) {
        let Some((name, value)) = text.split_once('=') else {
            return error_at(line, format!("{text:?} is no name=value"));
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
            // `worker.list` selects the workers that the web server itself maps. It is ignored: all members are
            // imported.
            None if rest == "list" => {}
            None => imported.unsupported.push(LineNote { line, message: format!("{name} is not supported") }),
        }
    }
    let mut templates = BTreeSet::new();
    for attributes in workers.values() {
        if let Some(reference) = attributes.get("reference") {
            let name = reference.value.trim_start_matches("worker.").to_string();
            if !workers.contains_key(&name) {
                return error_at(reference.line, format!("worker.{name} is not there"));
            }
            templates.insert(name);
        }
    }
    let members = balancer_members(&workers)?;
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
                return error_at(line, format!("type {other:?} is none of ajp13, ajp14, lb, status"));
            }
        }
        // A worker that others reference and that no balancer lists is a template.
        if templates.contains(&name) && !members.contains(&name) {
            continue;
        }
        let line = own.values().map(|property| property.line).min().unwrap_or(0);
        check_name(&name).or_else(|error| error_at(line, error.to_string()))?;
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
        let address = format_address(host, port);
        let kind = String::new();
        imported.file.workers.push(WorkerEntry { name, address, zone, kind, cell: None, weight, state });
    }
    imported.unsupported.sort_by_key(|note| note.line);
    Ok(imported)
}

fn not_supported(worker: &str, key: &str, line: usize) -> LineNote {
    LineNote { line, message: format!("worker.{worker}.{key} is not supported") }
}

/// Replaces each `$(name)` by the value that was set for that name before.
fn expand(line: usize, value: &str, macros: &BTreeMap<String, String>) -> ImportResult<String> {
    let mut text = String::new();
    let mut rest = value;
    while let Some((before, after)) = rest.split_once("$(") {
        let Some((name, behind)) = after.split_once(')') else {
            return error_at(line, "$( without )");
        };
        let Some(known) = macros.get(name) else {
            return error_at(line, format!("$({name}) was not set before"));
        };
        text.push_str(before);
        text.push_str(known);
        rest = behind;
    }
    text.push_str(rest);
    Ok(text)
}

/// The workers that balancers list.
fn balancer_members(
    workers: &BTreeMap<String, BTreeMap<String, Property>>,
) -> ImportResult<BTreeSet<String>> {
    let mut members = BTreeSet::new();
    for attributes in workers.values() {
        for key in ["balance_workers", "balanced_workers"] {
            let Some(list) = attributes.get(key) else { continue };
            for name in list.value.split([',', ' ', '\t']).filter(|name| !name.is_empty()) {
                if !workers.contains_key(name) {
                    return error_at(list.line, format!("worker.{name} is not there"));
                }
                members.insert(name.to_string());
            }
        }
    }
    Ok(members)
}

/// An attribute of a worker, inherited from the worker that it references if it has none itself. `depth` counts the
/// references followed, to stop at cycles.
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

/// The state of a mod_jk worker.
fn jk_state<'a>(found: &impl Fn(&str) -> Option<&'a Property>) -> ImportResult<State> {
    if let Some(activation) = found("activation") {
        return match activation.value.to_ascii_lowercase().as_str() {
            "active" | "a" => Ok(State::Up),
            "disabled" | "d" => Ok(State::Draining),
            "stopped" | "s" => Ok(State::Removed),
            other => error_at(
                activation.line,
                format!("activation {other:?} is none of active, disabled, stopped"),
            ),
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

/// Reads a mod_proxy configuration.
fn read_proxy(text: &str) -> ImportResult<Imported> {
    let mut imported = Imported::default();
    let mut section: Option<(usize, bool)> = None;
    for (line, text) in logical_lines(text) {
        let words = split_words(line, &text)?;
        let directive = words[0].to_ascii_lowercase();
        match directive.as_str() {
            "<proxy" => {
                if section.is_some() {
                    return error_at(line, "<Proxy> inside <Proxy>");
                }
                let url = words.get(1).map_or("", String::as_str).trim_end_matches('>');
                let balancer = is_balancer(url);
                if !balancer {
                    imported
                        .unsupported
                        .push(LineNote { line, message: format!("<Proxy {url}> is no balancer") });
                }
                section = Some((line, balancer));
            }
            "</proxy>" => {
                if section.take().is_none() {
                    return error_at(line, "</Proxy> without <Proxy>");
                }
            }
            "balancermember" => {
                let named = words.get(1).is_some_and(|word| is_balancer(word));
                if section.is_none_or(|section| !section.1) && !named {
                    return error_at(line, "BalancerMember outside a balancer");
                }
                let rest = &words[if named { 2 } else { 1 }..];
                add_member(line, rest, &mut imported)?;
            }
            _ => imported
                .unsupported
                .push(LineNote { line, message: format!("{} is not supported", words[0]) }),
        }
    }
    match section {
        Some((line, _)) => error_at(line, "<Proxy> is not closed"),
        None => Ok(imported),
    }
}

fn is_balancer(url: &str) -> bool {
    url.get(..11).is_some_and(|scheme| scheme.eq_ignore_ascii_case("balancer://"))
}

/// Splits a directive into words at white space outside double quotes.
fn split_words(line: usize, text: &str) -> ImportResult<Vec<String>> {
    let (mut words, mut word, mut quoted, mut in_word) = (Vec::new(), String::new(), false, false);
    for character in text.chars() {
        match character {
            '"' => (quoted, in_word) = (!quoted, true),
            character if character.is_whitespace() && !quoted => {
                if std::mem::take(&mut in_word) {
                    words.push(std::mem::take(&mut word));
                }
            }
            character => {
                word.push(character);
                in_word = true;
            }
        }
    }
    if quoted {
        return error_at(line, "a quote is not closed");
    }
    if in_word {
        words.push(word);
    }
    Ok(words)
}

/// Reads the arguments of a `BalancerMember` directive and adds the worker.
fn add_member(line: usize, words: &[String], imported: &mut Imported) -> ImportResult<()> {
    let Some(url) = words.first() else { return error_at(line, "BalancerMember without a URL") };
    let Some((scheme, rest)) = url.split_once("://") else {
        return error_at(line, format!("{url:?} is no URL"));
    };
    let default_port = match scheme.to_ascii_lowercase().as_str() {
        "http" => 80,
        "ajp" => 8009,
        other => return error_at(line, format!("scheme {other:?} is neither http nor ajp")),
    };
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    if !path.is_empty() {
        imported.unsupported.push(LineNote { line, message: format!("the path /{path} is not supported") });
    }
    let bracket = authority.rfind(']').map_or(0, |at| at + 1);
    let (host, port) = match authority[bracket..].rfind(':') {
        Some(at) => (&authority[..bracket + at], parse_port(line, &authority[bracket + at + 1..])?),
        None => (authority, default_port),
    };
    if host.is_empty() {
        return error_at(line, format!("{url:?} names no host"));
    }
    let (mut weight, mut state, mut name) = (1.0, State::Up, None);
    for word in &words[1..] {
        let Some((key, value)) = word.split_once('=') else {
            return error_at(line, format!("{word:?} is no key=value"));
        };
        match key.to_ascii_lowercase().as_str() {
            "loadfactor" => weight = parse_weight(line, value)?,
            "route" => name = Some(value.to_string()),
            "status" => state = proxy_state(line, value, imported)?,
            _ => imported.unsupported.push(LineNote { line, message: format!("{key} is not supported") }),
        }
    }
    let name = name.unwrap_or_else(|| format!("{}:{port}", host.trim_matches(['[', ']'])));
    check_name(&name).or_else(|error| error_at(line, error.to_string()))?;
    if imported.file.workers.iter().any(|worker| worker.name == name) {
        return error_at(line, format!("a worker {name:?} stands there already"));
    }
    let (zone, kind) = (String::new(), String::new());
    let address = format_address(host, port);
    imported.file.workers.push(WorkerEntry { name, address, zone, kind, cell: None, weight, state });
    Ok(())
}

/// The state of a mod_proxy worker from its status flags.
fn proxy_state(line: usize, value: &str, imported: &mut Imported) -> ImportResult<State> {
    let (mut state, mut on) = (State::Up, true);
    for flag in value.chars() {
        match flag.to_ascii_uppercase() {
            '+' => on = true,
            '-' => on = false,
            // Disabled or draining: calls in progress are finished.
            'D' | 'N' if on && state == State::Up => state = State::Draining,
            'S' if on => state = State::Removed,
            'D' | 'N' | 'S' => {}
            'I' | 'H' | 'R' | 'E' | 'C' => {
                imported
                    .unsupported
                    .push(LineNote { line, message: format!("status {flag} is not supported") });
            }
            _ => return error_at(line, format!("status {flag:?} is unknown")),
        }
    }
    Ok(state)
}

fn parse_port(line: usize, text: &str) -> ImportResult<u16> {
    match text.parse() {
        Ok(port) if port > 0 => Ok(port),
        _ => error_at(line, format!("{text:?} is no port")),
    }
}

fn parse_weight(line: usize, text: &str) -> ImportResult<f64> {
    match text.parse::<f64>() {
        Ok(weight) if weight.is_finite() && weight > 0.0 => Ok(weight),
        _ => error_at(line, format!("{text:?} is no load factor")),
    }
}

/// Formats a host and port as an address.
fn format_address(host: &str, port: u16) -> String {
    // mod_jk writes IPv6 addresses without brackets.
    if host.contains(':') && !host.starts_with('[') {
        format!("[{host}]:{port}")
    } else {
        format!("{host}:{port}")
    }
}

#[cfg(test)]
mod tests;
