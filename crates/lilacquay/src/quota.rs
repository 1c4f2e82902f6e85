//! Reads the file with the quotas of tenants and classes; `deploy/quota.toml` documents each key. Its tables are
//! checked and turned into the plan that the crate `lilacquay-quota` enforces.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

use lilacquay_core::Admission;
use lilacquay_quota::{Bounds, Dimension, Measure, Plan, PlanError, Share};
use paddlefold::setup::Names;

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};
use crate::section::{self, Section};

/// Time in which a share's debt decays to half, if the file sets none.
const DEFAULT_HALF_LIFE_MS: usize = 10_000;
/// Longest duration that the file may set: one day.
const MAX_DURATION_MS: usize = 86_400_000;
/// Most shares and most measures that the file may have.
const MAX_SHARES: usize = 100_000;
const MAX_MEASURES: usize = 64;
/// Largest guarantee or ceiling that the file may set, in the measure's unit.
const MAX_BOUND: usize = 1 << 50;

/// The content of the file. Its classes and tenants are looked up in the settings only by
/// [`Self::unresolved_names`] and [`Self::admission`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaConfig {
    file: PathBuf,
    text: String,
    plan: Plan,
    /// Index of the share of calls that have no tenant, or one without a share.
    default_share: usize,
    /// Each tenant with the index of its share.
    tenants: Vec<(NameRef, usize)>,
    /// Each class with the index of its lane.
    classes: Vec<(NameRef, usize)>,
}

/// A name of something else that the file mentions, with its field and place, so that it can be reported if it is
/// not found.
#[derive(Debug, Clone, PartialEq)]
struct NameRef {
    text: String,
    /// The path of the field, as issues report it.
    field: String,
    /// Byte offset in the file.
    offset: usize,
}

/// A `[[measure]]` table.
struct RawMeasure {
    name: String,
    dimension: Dimension,
    window_us: u64,
    classes: Vec<NameRef>,
}

/// A `[[share]]` table.
struct RawShare {
    name: NameRef,
    parent: Option<NameRef>,
    tenant: Option<NameRef>,
    /// By measure, in the order of the measures.
    bounds: Vec<Bounds>,
    /// The byte offset of the bounds in each measure, by the measure's name.
    bounds_offsets: Vec<(String, usize)>,
}

impl QuotaConfig {
    /// Whether a text is a configuration of this kind, by the tables that it has.
    pub fn is_config_text(text: &str) -> bool {
        text.lines().any(|line| line.trim_start().starts_with("[[share]]"))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All issues in it.
    pub fn read(file: &Path) -> Result<QuotaConfig, Vec<ConfigIssue>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable_file(file, &error)])?;
        let mut issues = IssueCollector::new(file, &text);
        let config = QuotaConfig::parse(file, &text, &mut issues);
        let issues = issues.into_issues();
        config.filter(|_| issues.is_empty()).ok_or(issues)
    }

    fn parse(file: &Path, text: &str, issues: &mut IssueCollector) -> Option<QuotaConfig> {
        let table = section::parse(text, "deploy/quota.toml", issues)?;
        let mut root = Section::root(&table, issues);
        root.reject_unknown_keys(&["others", "half_life_ms", "measure", "share"]);
        let half_life_us =
            root.integer("half_life_ms", 1..=MAX_DURATION_MS).unwrap_or(DEFAULT_HALF_LIFE_MS) as u64 * 1000;
        let measures: Vec<RawMeasure> =
            root.read_tables("measure", read_measure).into_iter().collect::<Option<_>>()?;
        let measure_names: Vec<&str> = measures.iter().map(|measure| measure.name.as_str()).collect();
        let shares = root.read_tables("share", |share| read_share(share, &measure_names));
        let shares: Vec<RawShare> = shares.into_iter().collect::<Option<_>>()?;
        if shares.is_empty()
            || measures.is_empty()
            || shares.len() > MAX_SHARES
            || measures.len() > MAX_MEASURES
        {
            let problem = format!("{} shares and {} measures", shares.len(), measures.len());
            let fix = format!("write 1 to {MAX_SHARES} [[share]] and 1 to {MAX_MEASURES} [[measure]]");
            root.report_at(0, "share", problem, &fix);
            return None;
        }
        let others = read_name(&mut root, "others");
        if others.is_none() && !root.has_key("others") {
            root.report_missing(
                "others",
                "name the share of calls that have no tenant, or one that has no share",
            );
        }
        let (measure_lanes, classes) = assign_lanes(&measures, issues);
        let order = order_by_parent(&shares, issues)?;
        let measure = |(index, raw): (usize, &RawMeasure)| Measure {
            lane: measure_lanes[index],
            dimension: raw.dimension,
            window: raw.window_us,
        };
        let plan = Plan {
            measures: measures.iter().enumerate().map(measure).collect(),
            shares: order
                .iter()
                .map(|&(in_file, parent)| Share {
                    name: shares[in_file].name.text.clone(),
                    parent,
                    bounds: shares[in_file].bounds.clone(),
                })
                .collect(),
            half_life: half_life_us,
        };
        for error in plan.check() {
            report_plan_error(error, &order, &shares, &measures, issues);
        }
        let share_by_name: HashMap<&str, usize> =
            plan.shares.iter().enumerate().map(|(index, share)| (share.name.as_str(), index)).collect();
        let others = others?;
        let default_share = share_by_name.get(others.text.as_str()).copied();
        if default_share.is_none() {
            let problem = format!("no share {:?}", others.text);
            issues.report_at_offset(others.offset, "others", problem, "name one of [[share]]");
        }
        let tenants = order
            .iter()
            .enumerate()
            .filter_map(|(share, &(in_file, _))| Some((shares[in_file].tenant.clone()?, share)))
            .collect();
        Some(QuotaConfig {
            file: file.to_owned(),
            text: text.to_owned(),
            default_share: default_share?,
            tenants,
            classes,
            plan,
        })
    }

    /// Issues for the tenants and classes that the settings do not have.
    pub fn unresolved_names(&self, names: &Names) -> Vec<ConfigIssue> {
        let mut issues = IssueCollector::new(&self.file, &self.text);
        let mut report_unknown = |names: &[(NameRef, usize)],
                                  kind: &str,
                                  find: &dyn Fn(&str) -> Option<usize>| {
            for (name, _) in names.iter().filter(|(name, _)| find(&name.text).is_none()) {
                let fix = "name one of the platform's settings";
                issues.report_at_offset(name.offset, &name.field, format!("no {kind} {:?}", name.text), fix);
            }
        };
        report_unknown(&self.tenants, "tenant", &|name| names.tenant(name));
        report_unknown(&self.classes, "class", &|name| names.class(name));
        issues.into_issues()
    }

    /// The quotas, with tenants and classes resolved in the settings. Names that the settings do not have are left
    /// out; [`QuotaConfig::unresolved_names`] reports them.
    pub fn admission(&self, names: &Names) -> Admission {
        let quota = lilacquay_quota::Quota::new(self.plan.clone(), 0)
            .expect("the plan was checked when the file was read");
        let resolve = |names: &[(NameRef, usize)], find: &dyn Fn(&str) -> Option<usize>| {
            names.iter().filter_map(|(name, index)| Some((find(&name.text)?, *index))).collect()
        };
        let tenants = resolve(&self.tenants, &|name| names.tenant(name));
        let classes = resolve(&self.classes, &|name| names.class(name));
        Admission::new(quota, tenants, self.default_share, classes)
    }
}

fn read_name(section: &mut Section, key: &str) -> Option<NameRef> {
    let text = section.string(key)?.to_owned();
    Some(NameRef { text, field: section.field(key), offset: section.value_offset(key) })
}

fn required_name(section: &mut Section, key: &str, fix: &str) -> Option<NameRef> {
    if !section.has_key(key) {
        section.report_missing(key, fix);
    }
    read_name(section, key)
}

fn read_measure(mut measure: Section) -> Option<RawMeasure> {
    measure.reject_unknown_keys(&["name", "of", "window_ms", "classes"]);
    let name = required_name(&mut measure, "name", "give it a name, by which shares set bounds for it")?.text;
    if ["name", "parent", "tenant"].contains(&name.as_str()) {
        let offset = measure.value_offset("name");
        measure.report_at(offset, "name", format!("{name:?} is a key of shares"), "give it another name");
    }
    let measured = required_name(&mut measure, "of", "write requests, worth, bytes or in-flight")?;
    let dimension = match &*measured.text {
        "requests" => Dimension::Requests,
        "worth" => Dimension::Worth,
        "bytes" => Dimension::Bytes,
        "in-flight" => Dimension::InFlight,
        other => {
            measure.report_at(
                measured.offset,
                "of",
                format!("unknown {other:?}"),
                "write requests, worth, bytes or in-flight",
            );
            return None;
        }
    };
    let is_in_flight = dimension == Dimension::InFlight;
    if !is_in_flight && !measure.has_key("window_ms") {
        measure.report_missing("window_ms", "write the window, as in window_ms = 1000");
    }
    if is_in_flight && measure.has_key("window_ms") {
        let offset = measure.value_offset("window_ms");
        measure.report_at(offset, "window_ms", "an in-flight measure has no window", "remove it");
    }
    let window_us = measure.integer("window_ms", 1..=MAX_DURATION_MS).unwrap_or(0) as u64 * 1000;
    if !measure.has_key("classes") {
        measure.report_missing("classes", "name the classes that count, as in classes = [\"lookup\"]");
    }
    let field = measure.field("classes");
    let classes = measure.strings("classes")?.into_iter();
    let classes = classes
        .map(|(offset, text)| NameRef { text: text.to_owned(), field: field.clone(), offset })
        .collect();
    Some(RawMeasure { name, dimension, window_us, classes })
}

fn read_share(mut share: Section, measure_names: &[&str]) -> Option<RawShare> {
    share.reject_unknown_keys(&[&["name", "parent", "tenant"], measure_names].concat());
    let name = required_name(&mut share, "name", "name the share");
    let (parent, tenant) = (read_name(&mut share, "parent"), read_name(&mut share, "tenant"));
    let bounds_offsets =
        measure_names.iter().map(|name| ((*name).to_owned(), share.value_offset(name))).collect();
    let bounds = measure_names.iter().map(|name| {
        if !share.has_key(name) {
            return Bounds::NONE;
        }
        let mut bounds = share.section(name);
        bounds.reject_unknown_keys(&["guarantee", "ceiling"]);
        let guarantee = bounds.integer("guarantee", 0..=MAX_BOUND).unwrap_or(0) as u64;
        let ceiling = bounds.integer("ceiling", 0..=MAX_BOUND).map_or(u64::MAX, |ceiling| ceiling as u64);
        Bounds { guarantee, ceiling }
    });
    let bounds = bounds.collect();
    Some(RawShare { name: name?, parent, tenant, bounds, bounds_offsets })
}

/// The lane of each measure, and of each class. Measures with the same set of classes share a lane; a class in two
/// lanes is reported.
fn assign_lanes(measures: &[RawMeasure], issues: &mut IssueCollector) -> (Vec<usize>, Vec<(NameRef, usize)>) {
    let mut lane_classes: Vec<Vec<&str>> = Vec::new();
    let mut classes: Vec<(NameRef, usize)> = Vec::new();
    let lanes = measures.iter().map(|measure| {
        let mut names: Vec<&str> = measure.classes.iter().map(|class| class.text.as_str()).collect();
        names.sort_unstable();
        let lane = lane_classes.iter().position(|known| *known == names).unwrap_or_else(|| {
            lane_classes.push(names);
            lane_classes.len() - 1
        });
        for class in &measure.classes {
            match classes.iter().find(|(known, _)| known.text == class.text) {
                Some((_, known)) if *known != lane => {
                    let problem =
                        format!("class {:?} is listed with other classes in another measure", class.text);
                    issues.report_at_offset(
                        class.offset,
                        &class.field,
                        problem,
                        "list the same classes in each",
                    );
                }
                Some(_) => {}
                None => classes.push((class.clone(), lane)),
            }
        }
        lane
    });
    let lanes = lanes.collect();
    (lanes, classes)
}

/// The shares in an order in which parents precede their children: for each its index in the file, and its parent's
/// index in this order. `None` if they do not form a tree, which is reported.
fn order_by_parent(shares: &[RawShare], issues: &mut IssueCollector) -> Option<Vec<(usize, Option<usize>)>> {
    let mut by_name: HashMap<&str, usize> = HashMap::new();
    let mut is_tree = true;
    for (index, share) in shares.iter().enumerate() {
        if by_name.insert(&share.name.text, index).is_some() {
            let problem = format!("another share is called {:?}", share.name.text);
            issues.report_at_offset(
                share.name.offset,
                &share.name.field,
                problem,
                "give each a name of its own",
            );
            is_tree = false;
        }
    }
    let mut children: Vec<Vec<usize>> = vec![Vec::new(); shares.len()];
    let mut roots = Vec::new();
    for (index, share) in shares.iter().enumerate() {
        match share.parent.as_ref().map(|parent| (parent, by_name.get(parent.text.as_str()))) {
            None => roots.push(index),
            Some((_, Some(&parent))) => children[parent].push(index),
            Some((parent, None)) => {
                let problem = format!("no share {:?}", parent.text);
                issues.report_at_offset(parent.offset, &parent.field, problem, "name one of [[share]]");
                is_tree = false;
            }
        }
    }
    for &extra_root in roots.iter().skip(1) {
        let name = &shares[extra_root].name;
        issues.report_at_offset(
            name.offset,
            &name.field,
            "a second share without a parent",
            "give it a parent",
        );
        is_tree = false;
    }
    let mut order: Vec<(usize, Option<usize>)> =
        roots.first().map(|&root| (root, None)).into_iter().collect();
    let mut next = 0;
    while let Some(&(share, _)) = order.get(next) {
        order.extend(children[share].iter().map(|&child| (child, Some(next))));
        next += 1;
    }
    if is_tree && order.len() < shares.len() {
        let in_cycle =
            shares.iter().enumerate().find(|(index, _)| order.iter().all(|(reached, _)| reached != index));
        if let Some(parent) = in_cycle.and_then(|(_, share)| share.parent.as_ref()) {
            let fix = "name a parent that leads to the one share without one";
            issues.report_at_offset(parent.offset, &parent.field, "its parents form a cycle", fix);
        }
        is_tree = false;
    }
    is_tree.then_some(order)
}

/// Reports an error in a plan at its place in the file.
fn report_plan_error(
    error: PlanError,
    order: &[(usize, Option<usize>)],
    shares: &[RawShare],
    measures: &[RawMeasure],
    issues: &mut IssueCollector,
) {
    let locate = |share: usize, measure: usize| {
        let (in_file, name) = (order[share].0, &measures[measure].name);
        let offsets = &shares[in_file].bounds_offsets;
        let offset = offsets.iter().find(|(known, _)| known == name).map_or(0, |(_, offset)| *offset);
        // Bounds that the file does not set have offset 0; the issue is then reported at the share's name.
        (offset.max(shares[in_file].name.offset), format!("share[{in_file}].{name}"))
    };
    match error {
        PlanError::CeilingBelowGuarantee(share, measure) => {
            let (offset, field) = locate(share, measure);
            issues.report_at_offset(
                offset,
                &field,
                "a ceiling below the guarantee",
                "raise the one or lower the other",
            );
        }
        PlanError::ChildGuaranteesExceedParent(share, measure) => {
            let (offset, field) = locate(share, measure);
            let problem = "the guarantees of its children add up to more than its own";
            issues.report_at_offset(
                offset,
                &field,
                problem,
                "lower theirs, or raise its guarantee (of the first share: its ceiling)",
            );
        }
        PlanError::TooDeep(share) => {
            let name = &shares[order[share].0].name;
            let fix = format!("nest {} levels at most", lilacquay_quota::MAX_DEPTH);
            issues.report_at_offset(name.offset, &name.field, "too deep a tree", fix);
        }
        // The reader of the file builds no such plan, or has reported the cause.
        PlanError::RootPosition(_)
        | PlanError::ParentOrder(_)
        | PlanError::BoundsCount(_)
        | PlanError::WindowTooShort(_) => {}
    }
}

#[cfg(test)]
mod tests {
    use paddlefold::setup::{RawSettings, Setup};

    use super::*;

    fn read(text: &str) -> Result<QuotaConfig, Vec<String>> {
        let settings = r#"{"Classes":[{"Name":"lookup","Aim":300.0,"Effect":"safe"},
            {"Name":"reminder-signup","Aim":800.0,"Effect":"keyed","Window":2500.0}],
            "Tenants":[{"Name":"acme","Share":0.5},{"Name":"wyre","Share":0.5}]}"#;
        let setup = Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("quota.toml");
        fs::write(&file, text).unwrap();
        let without_path =
            |issue: &ConfigIssue| issue.to_string().replace(&format!("{}:", file.display()), "");
        let result = QuotaConfig::read(&file).and_then(|quota| match quota.unresolved_names(&setup.names) {
            issues if issues.is_empty() => Ok(quota),
            issues => Err(issues),
        });
        result.map_err(|issues| issues.iter().map(without_path).collect())
    }

    #[test]
    fn the_documented_file_is_valid_and_names_every_key() {
        let text = include_str!("../../../deploy/quota.toml");
        assert!(QuotaConfig::is_config_text(text));
        let quota = read(text).unwrap();
        let dimensions: Vec<Dimension> =
            quota.plan.measures.iter().map(|measure| measure.dimension).collect();
        for expected in [Dimension::Requests, Dimension::Worth, Dimension::Bytes, Dimension::InFlight] {
            assert!(dimensions.contains(&expected), "{expected:?}");
        }
        assert_eq!((quota.tenants.len(), quota.classes.len()), (2, 2));
        assert!(quota.plan.shares.iter().any(|share| share.parent.is_some_and(|parent| parent > 0)));
    }

    #[test]
    fn each_issue_is_reported_with_line_field_and_fix() {
        let valid_start = "others = \"all\"\n[[measure]]\nname = \"m\"\nof = \"requests\"\nwindow_ms = 1000\nclasses = [\"lookup\"]\n[[share]]\nname = \"all\"\nm = { ceiling = 100 }\n";
        assert!(read(valid_start).is_ok());
        let cases = [
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\nm = { guarantee = 101 }\n",
                "9: share[0].m: the guarantees of its children add up to more than its own; lower theirs, or raise its guarantee (of the first share: its ceiling)",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\nm = { guarantee = 2, ceiling = 1 }\n",
                "13: share[1].m: a ceiling below the guarantee; raise the one or lower the other",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"b\"\n[[share]]\nname = \"b\"\nparent = \"a\"\n",
                "12: share[1].parent: its parents form a cycle; name a parent that leads to the one share without one",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"c\"\n",
                "12: share[1].parent: no share \"c\"; name one of [[share]]",
            ),
            (
                "[[share]]\nname = \"all\"\nparent = \"all\"\n",
                "11: share[1].name: another share is called \"all\"; give each a name of its own",
            ),
            (
                "[[share]]\nname = \"a\"\n",
                "11: share[1].name: a second share without a parent; give it a parent",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\ntenant = \"x\"\n",
                "13: share[1].tenant: no tenant \"x\"; name one of the platform's settings",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\nn = { ceiling = 1 }\n",
                "13: share[1].n: no such key; remove it, or use one of name, parent, tenant, m",
            ),
            (
                "[[measure]]\nname = \"z\"\nof = \"requests\"\nwindow_ms = 0\nclasses = [\"lookup\"]\n",
                "13: measure[1].window_ms: out of range; write a whole number from 1 to 86400000",
            ),
            (
                "[[measure]]\nname = \"z\"\nof = \"time\"\nclasses = []\n",
                "12: measure[1].of: unknown \"time\"; write requests, worth, bytes or in-flight",
            ),
            (
                "[[measure]]\nname = \"z\"\nof = \"in-flight\"\nclasses = [\"lookup\", \"reminder-signup\"]\n",
                "13: measure[1].classes: class \"lookup\" is listed with other classes in another measure; list the same classes in each",
            ),
            (
                "[[measure]]\nname = \"z\"\nof = \"in-flight\"\nclasses = [\"nothing\"]\n",
                "13: measure[1].classes: no class \"nothing\"; name one of the platform's settings",
            ),
        ];
        for (text, expected) in cases {
            assert_eq!(
                read(&format!("{valid_start}{text}")).map(|_| ()),
                Err(vec![expected.to_owned()]),
                "{text}"
            );
        }
        let missing = read(&valid_start.replace("others = \"all\"\n", "")).unwrap_err();
        assert!(missing[0].contains("others: missing; name the share of calls"), "{missing:?}");
    }
}
