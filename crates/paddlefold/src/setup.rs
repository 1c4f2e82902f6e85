//! Reads the settings object, the same way for a node's configuration and for the bench's adapter.
//!
//! Unknown fields are skipped; names of classes, tenants, zones and kinds of machines become indices. Times
//! in the settings object are milliseconds, those of [`Settings`] microseconds.

use std::borrow::Cow;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

use crate::api::*;

/// The settings object as it is written on the wire or in a node's configuration.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawSettings {
    classes: Vec<ClassSetup>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    guarantees: Guarantees,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    quantum: f64,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    me: Option<usize>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    siblings: usize,
    #[serde(default)]
    tenants: Vec<TenantSetup>,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    skus: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassSetup {
    name: String,
    aim: f64,
    #[serde(default)]
    hard_limit: f64,
    #[serde(default)]
    worth: Option<f64>,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantSetup {
    name: String,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    mode: String,
    origin_kind: Option<i64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Guarantees {
    cold: f64,
    cold_from: Option<f64>,
    fall: f64,
    must_ask_in: f64,
    overload_factor: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancel: bool,
    connect_timeout: Option<f64>,
    keepalive: Option<f64>,
    max_attempts: Option<usize>,
    max_retry_after: f64,
    peers: bool,
    retry_after: bool,
    second_copies: bool,
}

/// Connection time-out, in microseconds, if the settings state none.
const DEFAULT_CONNECT_TIMEOUT_US: Micros = 1_000_000;

/// The settings could not be used: a class has this unknown effect.
#[derive(Debug)]
pub struct SetupError(String);

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown effect {:?}", self.0)
    }
}

impl std::error::Error for SetupError {}

/// The names of classes and tenants, and their indices.
#[derive(Debug, Default)]
pub struct Names {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl Names {
    /// The index of a class, if the settings name it.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }
    /// The index of a tenant, if the settings name it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
    /// The names of the classes, by index.
    pub fn all_classes(&self) -> Vec<String> {
        by_index(&self.classes)
    }
    /// The names of the tenants, by index.
    pub fn all_tenants(&self) -> Vec<String> {
        by_index(&self.tenants)
    }
}

/// The settings after reading: those of the module, those of the node, and the names that became indices.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Configuration of the module.
    pub settings: Settings,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Micros,
    /// The longest that clients of any class wait for an answer.
    pub longest_deadline: Micros,
    /// Index of this node among all nodes, if the settings state it.
    pub node_index: Option<usize>,
    /// Whether nodes may communicate with one another.
    pub peers_allowed: bool,
    /// The names of classes and tenants.
    pub names: Arc<Names>,
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
    origin_kind: Option<String>,
}

impl TryFrom<RawSettings> for Setup {
    type Error = SetupError;

    fn try_from(setup: RawSettings) -> Result<Setup, SetupError> {
        let mut classes = Vec::new();
        for class in &setup.classes {
            let scope = match class.dedup_scope.as_str() {
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                _ => Scope::All,
            };
            let effect = match class.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed { scope, window: micros(class.window) },
                "unsafe" => Effect::Unsafe,
                other => return Err(SetupError(other.into())),
            };
            classes.push(Class { aim: micros(class.aim), worth: class.worth.unwrap_or(1.0), effect });
        }
        let defaults = Settings::default();
        let (limits, guarantees) = (setup.limits, setup.guarantees);
        let settings = Settings {
            classes,
            tenant_shares: setup.tenants.iter().map(|t| t.share).collect(),
            over_share_worth: setup.over_share_worth.unwrap_or(defaults.over_share_worth),
            mode: if setup.family_info.mode == "aside" { Mode::Aside } else { Mode::Through },
            must_subscribe: setup.registry_mode == "subscribe",
            must_ask_in: micros(guarantees.must_ask_in),
            steady_weights: setup.weights != "live",
            cancel: limits.cancel,
            second_copies: limits.second_copies,
            max_attempts: limits.max_attempts.unwrap_or(defaults.max_attempts),
            max_retry_after: if limits.retry_after { micros(limits.max_retry_after) } else { 0 },
            cold: micros(guarantees.cold),
            cold_from: guarantees.cold_from.unwrap_or(defaults.cold_from),
            overload_factor: guarantees.overload_factor.unwrap_or(defaults.overload_factor),
            fall: micros(guarantees.fall),
            quantum: micros(setup.quantum),
            nodes: setup.siblings.max(1),
            zone: setup.zone.and_then(|zone| setup.dcs.iter().position(|z| *z == zone)).map(|z| z as u32),
            cross_zone_price: setup.prices.cross_zone,
            keepalive: limits.keepalive.map_or(defaults.keepalive, micros),
        };
        let origin_kind = setup.family_info.origin_kind.and_then(|k| usize::try_from(k).ok());
        let index = |names: Vec<String>| names.into_iter().zip(0..).collect::<HashMap<_, usize>>();
        let hard_limits = setup.classes.iter().map(|c| micros(c.hard_limit));
        Ok(Setup {
            settings,
            connect_timeout: limits.connect_timeout.map_or(DEFAULT_CONNECT_TIMEOUT_US, micros),
            longest_deadline: hard_limits.max().unwrap_or(0),
            node_index: setup.me,
            peers_allowed: limits.peers,
            names: Arc::new(Names {
                classes: index(setup.classes.into_iter().map(|c| c.name).collect()),
                tenants: index(setup.tenants.into_iter().map(|t| t.name).collect()),
            }),
            zones: setup.dcs.into_iter().zip(0..).collect(),
            origin_kind: origin_kind.and_then(|k| setup.skus.get(k).cloned()),
            kinds: setup.skus.into_iter().zip(0..).collect(),
        })
    }
}

impl Setup {
    /// The index of a zone; a new one for a name not seen before.
    pub fn zone_index(&mut self, name: Cow<str>) -> u32 {
        index_or_insert(&mut self.zones, name)
    }
    /// The index of a kind of machine; a new one for a name not seen before.
    pub fn kind_index(&mut self, name: Cow<str>) -> u32 {
        index_or_insert(&mut self.kinds, name)
    }
    /// Whether servers of this kind are the origin.
    pub fn is_origin(&self, kind: &str) -> bool {
        self.origin_kind.as_deref() == Some(kind)
    }
}

/// Names in the order of their indices. A name that occurs twice is found at its last index only; the other
/// one stays empty.
fn by_index(names: &HashMap<String, usize>) -> Vec<String> {
    let mut all = vec![String::new(); names.values().max().map_or(0, |last| last + 1)];
    names.iter().for_each(|(name, &index)| all[index].clone_from(name));
    all
}

/// The index of a name; a new one for a name not seen before.
fn index_or_insert(names: &mut HashMap<String, u32>, name: Cow<str>) -> u32 {
    let next = names.len() as u32;
    match names.get(&*name) {
        Some(&index) => index,
        None => *names.entry(name.into_owned()).or_insert(next),
    }
}

/// Converts milliseconds to microseconds, clamped to the range that the clock can represent.
pub fn micros(ms: f64) -> Micros {
    // A cast from float saturates, and NaN becomes 0; the upper limit leaves room for sums. It is well above
    // the present Unix time: with a limit below that, a server that has just started would count as started
    // long ago.
    (ms * 1000.0).round().min(1e17) as Micros
}
