//! The options for quotas, which `deploy/quota.toml` documents.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

use lilacquay_core::Admission;
use lilacquay_quota::{Bounds, Dimension, Measure, Plan, PlanError, Share};
use paddlefold::setup::Names;

use crate::config_error::{Mistake, Mistakes, unreadable};
use crate::section::{self, Section};

/// The time in which half of a debt is forgotten, if the file does not say, in milliseconds.
const HALF_LIFE_MS: usize = 10_000;
const LONGEST_MS: usize = 86_400_000;
/// No more shares than this, and no more measures.
const SHARES: usize = 100_000;
const MEASURES: usize = 64;
/// The most of anything.
const MOST: usize = 1 << 50;

/// What the file says. The classes and tenants in it are not looked up yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    file: PathBuf,
    text: String,
    plan: Plan,
    /// The share of all others.
    others: usize,
    /// By share.
    tenants: Vec<(Word, usize)>,
    /// With their lane.
    classes: Vec<(Word, usize)>,
}

/// A name in the file, with its field and place.
#[derive(Debug, Clone, PartialEq)]
struct Word {
    text: String,
    field: String,
    place: usize,
}

struct MeasureLines {
    name: String,
    dimension: Dimension,
    window: u64,
    classes: Vec<Word>,
}

struct ShareLines {
    name: Word,
    parent: Option<Word>,
    tenant: Option<Word>,
    bounds: Vec<Bounds>,
    /// Where each measure stands.
    places: Vec<(String, usize)>,
}

impl Quota {
    /// Whether a file is meant for this, by what it says.
    pub fn is_meant(text: &str) -> bool {
        text.lines().any(|line| line.trim_start().starts_with("[[share]]"))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All mistakes that are in it.
    pub fn read(file: &Path) -> Result<Quota, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let read = Quota::parse(file, &text, &mut mistakes);
        let found = mistakes.into_found();
        read.filter(|_| found.is_empty()).ok_or(found)
    }

    fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<Quota> {
        let table = section::parse(text, "deploy/quota.toml", mistakes)?;
        let mut root = Section::root(&table, mistakes);
        root.only(&["others", "half_life_ms", "measure", "share"]);
        let half_life = root.number("half_life_ms", 1..=LONGEST_MS).unwrap_or(HALF_LIFE_MS) as u64 * 1000;
        let measures: Vec<MeasureLines> =
            root.each("measure", read_measure).into_iter().collect::<Option<_>>()?;
        let names: Vec<&str> = measures.iter().map(|measure| measure.name.as_str()).collect();
        let shares = root.each("share", |share| read_share(share, &names));
        let shares: Vec<ShareLines> = shares.into_iter().collect::<Option<_>>()?;
        if shares.is_empty() || measures.is_empty() || shares.len() > SHARES || measures.len() > MEASURES {
            let what = format!("{} shares and {} measures", shares.len(), measures.len());
            let mend = format!("write 1 to {SHARES} [[share]] and 1 to {MEASURES} [[measure]]");
            root.note(0, "share", what, &mend);
            return None;
        }
        let others = word(&mut root, "others");
        if others.is_none() && !root.has("others") {
            root.missing("others", "name the share of calls that have no tenant, or one that has no share");
        }
        let (lanes, classes) = lanes(&measures, mistakes);
        let order = order(&shares, mistakes)?;
        let measure = |(n, lines): (usize, &MeasureLines)| Measure {
            lane: lanes[n],
            dimension: lines.dimension,
            window: lines.window,
        };
        let plan = Plan {
            measures: measures.iter().enumerate().map(measure).collect(),
            shares: order
                .iter()
                .map(|&(n, parent)| Share {
                    name: shares[n].name.text.clone(),
                    parent,
                    bounds: shares[n].bounds.clone(),
                })
                .collect(),
            half_life,
        };
        for error in plan.check() {
            tell(error, &order, &shares, &measures, mistakes);
        }
        let index: HashMap<&str, usize> =
            plan.shares.iter().enumerate().map(|(n, share)| (share.name.as_str(), n)).collect();
        let others = others?;
        let place = index.get(others.text.as_str()).copied();
        if place.is_none() {
            let what = format!("no share {:?}", others.text);
            mistakes.at(others.place, "others", what, "name one of [[share]]");
        }
        let tenants =
            order.iter().enumerate().filter_map(|(at, &(n, _))| Some((shares[n].tenant.clone()?, at)));
        let tenants = tenants.collect();
        Some(Quota { file: file.to_owned(), text: text.to_owned(), others: place?, tenants, classes, plan })
    }

    /// The tenants and classes that the settings lack.
    pub fn look_up(&self, names: &Names) -> Vec<Mistake> {
        let mut mistakes = Mistakes::new(&self.file, &self.text);
        let mut missing = |words: &[(Word, usize)], what: &str, find: &dyn Fn(&str) -> Option<usize>| {
            for (word, _) in words.iter().filter(|(word, _)| find(&word.text).is_none()) {
                let mend = "name one of the platform's settings";
                mistakes.at(word.place, &word.field, format!("no {what} {:?}", word.text), mend);
            }
        };
        missing(&self.tenants, "tenant", &|name| names.tenant(name));
        missing(&self.classes, "class", &|name| names.class(name));
        mistakes.into_found()
    }

    /// The quotas, by the settings' names. What those lack is left out: it was told by [`Quota::look_up`].
    pub fn admission(&self, names: &Names) -> Admission {
        let quota = lilacquay_quota::Quota::new(self.plan.clone(), 0).expect("checked when it was read");
        let by = |words: &[(Word, usize)], find: &dyn Fn(&str) -> Option<usize>| {
            words.iter().filter_map(|(word, at)| Some((find(&word.text)?, *at))).collect()
        };
        let tenants = by(&self.tenants, &|name| names.tenant(name));
        let classes = by(&self.classes, &|name| names.class(name));
        Admission::new(quota, tenants, self.others, classes)
    }
}

fn word(section: &mut Section, key: &str) -> Option<Word> {
    let text = section.text(key)?.to_owned();
    Some(Word { text, field: section.field(key), place: section.place(key) })
}

fn needed(section: &mut Section, key: &str, mend: &str) -> Option<Word> {
    if !section.has(key) {
        section.missing(key, mend);
    }
    word(section, key)
}

fn read_measure(mut measure: Section) -> Option<MeasureLines> {
    measure.only(&["name", "of", "window_ms", "classes"]);
    let name = needed(&mut measure, "name", "give it a name, under which shares bound it")?.text;
    if ["name", "parent", "tenant"].contains(&name.as_str()) {
        let place = measure.place("name");
        measure.note(place, "name", format!("{name:?} is a key of shares"), "give it another name");
    }
    let of = needed(&mut measure, "of", "write requests, worth, bytes or in-flight")?;
    let dimension = match &*of.text {
        "requests" => Dimension::Requests,
        "worth" => Dimension::Worth,
        "bytes" => Dimension::Bytes,
        "in-flight" => Dimension::InFlight,
        other => {
            measure.note(
                of.place,
                "of",
                format!("unknown {other:?}"),
                "write requests, worth, bytes or in-flight",
            );
            return None;
        }
    };
    let held = dimension == Dimension::InFlight;
    if !held && !measure.has("window_ms") {
        measure.missing("window_ms", "write the window, as in window_ms = 1000");
    }
    if held && measure.has("window_ms") {
        let place = measure.place("window_ms");
        measure.note(place, "window_ms", "work in flight has no window", "take it out");
    }
    let window = measure.number("window_ms", 1..=LONGEST_MS).unwrap_or(0) as u64 * 1000;
    if !measure.has("classes") {
        measure.missing("classes", "name the classes that count, as in classes = [\"lookup\"]");
    }
    let field = measure.field("classes");
    let classes = measure.texts("classes")?.into_iter();
    let classes =
        classes.map(|(place, text)| Word { text: text.to_owned(), field: field.clone(), place }).collect();
    Some(MeasureLines { name, dimension, window, classes })
}

fn read_share(mut share: Section, measures: &[&str]) -> Option<ShareLines> {
    share.only(&[&["name", "parent", "tenant"], measures].concat());
    let name = needed(&mut share, "name", "name the share");
    let (parent, tenant) = (word(&mut share, "parent"), word(&mut share, "tenant"));
    let places = measures.iter().map(|name| ((*name).to_owned(), share.place(name))).collect();
    let bounds = measures.iter().map(|name| {
        if !share.has(name) {
            return Bounds::NONE;
        }
        let mut bounds = share.section(name);
        bounds.only(&["guarantee", "ceiling"]);
        let guarantee = bounds.number("guarantee", 0..=MOST).unwrap_or(0) as u64;
        let ceiling = bounds.number("ceiling", 0..=MOST).map_or(u64::MAX, |ceiling| ceiling as u64);
        Bounds { guarantee, ceiling }
    });
    let bounds = bounds.collect();
    Some(ShareLines { name: name?, parent, tenant, bounds, places })
}

/// The lane of each measure, and of each class. Measures of the same classes are of one lane; no class is in two.
fn lanes(measures: &[MeasureLines], mistakes: &mut Mistakes) -> (Vec<usize>, Vec<(Word, usize)>) {
    let mut sets: Vec<Vec<&str>> = Vec::new();
    let mut classes: Vec<(Word, usize)> = Vec::new();
    let lanes = measures.iter().map(|measure| {
        let mut set: Vec<&str> = measure.classes.iter().map(|class| class.text.as_str()).collect();
        set.sort_unstable();
        let lane = sets.iter().position(|known| *known == set).unwrap_or_else(|| {
            sets.push(set);
            sets.len() - 1
        });
        for class in &measure.classes {
            match classes.iter().find(|(known, _)| known.text == class.text) {
                Some((_, known)) if *known != lane => {
                    let what = format!("class {:?} counts with other classes in another measure", class.text);
                    mistakes.at(class.place, &class.field, what, "name the same classes in each");
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

/// The shares with each behind its parent, by their place in the file, and the parent's place in this order.
fn order(shares: &[ShareLines], mistakes: &mut Mistakes) -> Option<Vec<(usize, Option<usize>)>> {
    let mut by_name: HashMap<&str, usize> = HashMap::new();
    let mut good = true;
    for (n, share) in shares.iter().enumerate() {
        if by_name.insert(&share.name.text, n).is_some() {
            let what = format!("another share is called {:?}", share.name.text);
            mistakes.at(share.name.place, &share.name.field, what, "give each a name of its own");
            good = false;
        }
    }
    let mut children: Vec<Vec<usize>> = vec![Vec::new(); shares.len()];
    let mut roots = Vec::new();
    for (n, share) in shares.iter().enumerate() {
        match share.parent.as_ref().map(|parent| (parent, by_name.get(parent.text.as_str()))) {
            None => roots.push(n),
            Some((_, Some(&parent))) => children[parent].push(n),
            Some((parent, None)) => {
                let what = format!("no share {:?}", parent.text);
                mistakes.at(parent.place, &parent.field, what, "name one of [[share]]");
                good = false;
            }
        }
    }
    for &second in roots.iter().skip(1) {
        let name = &shares[second].name;
        mistakes.at(name.place, &name.field, "a second share without a parent", "give it a parent");
        good = false;
    }
    let mut order: Vec<(usize, Option<usize>)> =
        roots.first().map(|&root| (root, None)).into_iter().collect();
    let mut next = 0;
    while let Some(&(share, _)) = order.get(next) {
        order.extend(children[share].iter().map(|&child| (child, Some(next))));
        next += 1;
    }
    if good && order.len() < shares.len() {
        let looping = shares.iter().enumerate().find(|(n, _)| order.iter().all(|(known, _)| known != n));
        if let Some(parent) = looping.and_then(|(_, share)| share.parent.as_ref()) {
            let mend = "name a parent that leads to the one share without one";
            mistakes.at(parent.place, &parent.field, "its parents lead back to it", mend);
        }
        good = false;
    }
    good.then_some(order)
}

/// Tells what is wrong with a plan where it stands in the file.
fn tell(
    error: PlanError,
    order: &[(usize, Option<usize>)],
    shares: &[ShareLines],
    measures: &[MeasureLines],
    mistakes: &mut Mistakes,
) {
    let at = |share: usize, measure: usize| {
        let (n, name) = (order[share].0, &measures[measure].name);
        let place = shares[n].places.iter().find(|(known, _)| known == name).map_or(0, |(_, place)| *place);
        (place.max(shares[n].name.place), format!("share[{n}].{name}"))
    };
    match error {
        PlanError::CeilingBelowGuarantee(share, measure) => {
            let (place, field) = at(share, measure);
            mistakes.at(place, &field, "a ceiling under the guarantee", "raise the one or lower the other");
        }
        PlanError::ChildGuaranteesExceedParent(share, measure) => {
            let (place, field) = at(share, measure);
            let what = "the guarantees of its children are together over its own";
            mistakes.at(
                place,
                &field,
                what,
                "lower theirs, or raise its guarantee (of the first share: its ceiling)",
            );
        }
        PlanError::TooDeep(share) => {
            let name = &shares[order[share].0].name;
            let mend = format!("put no more than {} above one another", lilacquay_quota::MAX_DEPTH);
            mistakes.at(name.place, &name.field, "too deep a tree", mend);
        }
        // Reading the file makes no such plan, or has told why.
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

    fn read(text: &str) -> Result<Quota, Vec<String>> {
        let settings = r#"{"Classes":[{"Name":"lookup","Aim":300.0,"Effect":"safe"},
            {"Name":"reminder-signup","Aim":800.0,"Effect":"keyed","Window":2500.0}],
            "Tenants":[{"Name":"acme","Share":0.5},{"Name":"wyre","Share":0.5}]}"#;
        let setup = Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("quota.toml");
        fs::write(&file, text).unwrap();
        let told = |mistake: &Mistake| mistake.to_string().replace(&format!("{}:", file.display()), "");
        let read = Quota::read(&file).and_then(|quota| match quota.look_up(&setup.names) {
            none if none.is_empty() => Ok(quota),
            mistakes => Err(mistakes),
        });
        read.map_err(|mistakes| mistakes.iter().map(told).collect())
    }

    #[test]
    fn the_documented_file_is_good_and_names_every_key() {
        let text = include_str!("../../../deploy/quota.toml");
        assert!(Quota::is_meant(text));
        let quota = read(text).unwrap();
        let dimensions: Vec<Dimension> =
            quota.plan.measures.iter().map(|measure| measure.dimension).collect();
        for wanted in [Dimension::Requests, Dimension::Worth, Dimension::Bytes, Dimension::InFlight] {
            assert!(dimensions.contains(&wanted), "{wanted:?}");
        }
        assert_eq!((quota.tenants.len(), quota.classes.len()), (2, 2));
        assert!(quota.plan.shares.iter().any(|share| share.parent.is_some_and(|parent| parent > 0)));
    }

    #[test]
    fn each_mistake_is_told_with_its_line_field_and_mend() {
        let head = "others = \"all\"\n[[measure]]\nname = \"m\"\nof = \"requests\"\nwindow_ms = 1000\nclasses = [\"lookup\"]\n[[share]]\nname = \"all\"\nm = { ceiling = 100 }\n";
        assert!(read(head).is_ok());
        let cases = [
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\nm = { guarantee = 101 }\n",
                "9: share[0].m: the guarantees of its children are together over its own; lower theirs, or raise its guarantee (of the first share: its ceiling)",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"all\"\nm = { guarantee = 2, ceiling = 1 }\n",
                "13: share[1].m: a ceiling under the guarantee; raise the one or lower the other",
            ),
            (
                "[[share]]\nname = \"a\"\nparent = \"b\"\n[[share]]\nname = \"b\"\nparent = \"a\"\n",
                "12: share[1].parent: its parents lead back to it; name a parent that leads to the one share without one",
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
                "13: share[1].n: no such key; take it out, or write one of name, parent, tenant, m",
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
                "13: measure[1].classes: class \"lookup\" counts with other classes in another measure; name the same classes in each",
            ),
            (
                "[[measure]]\nname = \"z\"\nof = \"in-flight\"\nclasses = [\"nothing\"]\n",
                "13: measure[1].classes: no class \"nothing\"; name one of the platform's settings",
            ),
        ];
        for (text, told) in cases {
            assert_eq!(read(&format!("{head}{text}")).map(|_| ()), Err(vec![told.to_owned()]), "{text}");
        }
        let missing = read(&head.replace("others = \"all\"\n", "")).unwrap_err();
        assert!(missing[0].contains("others: missing; name the share of calls"), "{missing:?}");
    }
}
