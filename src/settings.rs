//! Reads [`Settings`] and the names behind its indices from the JSON settings object of an invoker.
use crate::interface::*;
use serde_json::Value;

/// The names behind the indices in [`Settings`], in the same order.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of calls.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones, the own one among them if the settings name it.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub fields: Vec<String>,
}

/// Index of a name in a list.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn names(list: &Value, of: impl Fn(&Value) -> &Value) -> Vec<String> {
    let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| of(item).as_str().unwrap_or_default().to_string()).collect()
}

/// The zones that the settings name.
fn zone_names(setup: &Value) -> Vec<String> {
    let mut zones = names(&setup["zones"], |zone| zone);
    let own = own_zone_name(setup).map(str::to_string);
    zones.extend(own.filter(|own| !zones.contains(own)));
    zones
}

/// The name of the own zone; `None` if the settings name none.
fn own_zone_name(setup: &Value) -> Option<&str> {
    setup["myZone"].as_str().filter(|name| !name.is_empty())
}

impl Names {
    /// Reads the names from the settings object.
    pub fn from_json(setup: &Value) -> Self {
        Names {
            classes: names(&setup["classes"], |class| &class["name"]),
            tenants: names(&setup["customers"], |tenant| &tenant["name"]),
            zones: zone_names(setup),
            kinds: names(&setup["models"], |kind| kind),
            fields: names(&setup["report"]["fields"], |field| field),
        }
    }
}

impl Settings {
    /// Reads the settings object; a missing or invalid value gets the safer default.
    pub fn from_json(setup: &Value) -> Self {
        let number = |group: &str, key: &str, default: f64| {
            let value = if group.is_empty() { &setup[key] } else { &setup[group][key] };
            value.as_f64().filter(|number| *number >= 0.0).unwrap_or(default)
        };
        let flag = |group: &str, key: &str| setup[group][key].as_bool().unwrap_or(false);
        let list = |key: &str| setup[key].as_array().cloned().unwrap_or_default();
        let class = |class: &Value| {
            let field = |key: &str, default: f64| class[key].as_f64().unwrap_or(default);
            let group = match class["dedupScope"].as_str() {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                _ => Group::Cell,
            };
            let give_up = field("giveUpMs", 1000.0);
            Class {
                aim: field("aimMs", give_up),
                worth: field("worth", 1.0),
                late_worth: field("lateWorth", 0.0),
                effect: match class["idempotency"].as_str() {
                    Some("pure") => Effect::Repeatable,
                    Some("token") => Effect::Keyed(group, field("dedupWindowMs", 0.0)),
                    _ => Effect::Unsafe,
                },
            }
        };
        let memory = &setup["specifics"]["ramMbByKind"];
        Settings {
            zone: own_zone_name(setup)
                .and_then(|own| position(&zone_names(setup), own))
                .map(|position| ZoneId(position as u64)),
            tick: number("", "periodMs", 1.0),
            invokers: number("", "balancers", 1.0).clamp(1.0, 1e6) as u32,
            classes: list("classes").iter().map(class).collect(),
            tenants: list("customers")
                .iter()
                .map(|tenant| Tenant { quota_per_s: tenant["quotaPerS"].as_f64().unwrap_or(0.0) })
                .collect(),
            over_share_worth: number("", "overShareWorth", 1.0),
            worth_by_work: setup["worthBy"].as_str() == Some("work"),
            kind_memory: memory
                .as_array()
                .map(|kinds| kinds.iter().map(|mb| mb.as_f64().unwrap_or(0.0)).collect())
                .unwrap_or_default(),
            max_attempts: number("ceilings", "attemptsCap", 1.0).clamp(1.0, 1e6) as u32,
            cancel: flag("ceilings", "cancel"),
            probes: flag("ceilings", "probes"),
            second_copies: flag("ceilings", "secondCopies"),
            retry_after: flag("ceilings", "retryAfter"),
            max_retry_after: number("ceilings", "maxRetryAfterMs", 0.0),
            roster_on_request: setup["registryMode"].as_str() == Some("on_request"),
            roster_max_age: number("safety", "askWithinMs", 10000.0),
            drain_grace: number("safety", "drainGraceMs", 0.0),
            cold_from: number("safety", "coldFrom", 0.0),
            cold_span: number("safety", "coldMs", 0.0),
            overload_multiple: number("safety", "fallMultiple", 1.0),
            overload_span: number("safety", "fallMs", 0.0),
            on_missing_model: match setup["specifics"]["notLoaded"].as_str() {
                Some("load") => MissingModelBehavior::Loads,
                _ => MissingModelBehavior::Misses,
            },
            load_orders_allowed: flag("specifics", "placementCalls"),
            min_idle_keep: number("specifics", "keepMs", 0.0),
            load_quota_base: number("specifics", "loadFloor", 0.0),
            load_quota_per_request: number("specifics", "loadPart", 0.0),
            load_window: number("specifics", "loadSpanMs", 0.0),
            order_lag: Some(number("ceilings", "connectTimeoutMs", 0.0))
                .filter(|ms| *ms > 0.0)
                .unwrap_or(250.0),
            reports_warmth: flag("specifics", "saysWarm"),
            price_cross: number("prices", "crossZone", 0.0),
            price_probe: number("prices", "probe", 0.0),
            price_fetch: number("prices", "origin", 0.0),
        }
    }
}
