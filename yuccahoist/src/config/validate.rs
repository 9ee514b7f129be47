//! Validation of a document set and of a change.
//!
//! All errors are listed at once, each with document, field path, value and what is allowed.

mod bounds;
mod fleet;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::Value;
use twox_hash::XxHash64;

use self::fleet::capacity;
use super::document::BASE;
use super::read::{Finding, read, shorten};
use super::{CellConfig, CellDocument, DocumentName, Documents};
use crate::id::SiteId;
use crate::job::JobKind;

/// Sections that an overlay may change.
///
/// The others describe the fleet and its jobs. Shards and partitions move between the hosts of all sites, so a worker
/// whose capacity differed by site could be given more than it has after a takeover.
const OVERLAY_SECTIONS: [&str; 3] = ["classes", "teams", "limits"];

/// Largest document, bytes as compact JSON. Hosts validate edits between requests, so the time must be bounded.
const DOCUMENT_LIMIT: usize = 256 << 10;

/// Value in a document that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Document.
    pub document: DocumentName,
    /// Field path.
    pub path: String,
    /// Value, shortened.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: found {}; allowed: {}", self.document, self.path, self.value, self.allowed)
    }
}

impl std::error::Error for ConfigError {}

/// Errors found so far.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    /// Notes an error unless the value is allowed.
    fn check(
        &mut self,
        ok: bool,
        path: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) {
        if !ok {
            let value = shorten(&value.to_string());
            self.0.push(Finding { path: path.into(), value, allowed: allowed.into() });
        }
    }

    /// Notes an error unless the number lies in a range.
    fn range<T: PartialOrd + fmt::Display + Copy>(
        &mut self,
        path: impl Into<String>,
        value: T,
        low: T,
        high: T,
    ) {
        let ok = low <= value && value <= high;
        self.check(ok, path, value, format!("{low} to {high}"));
    }
}

/// Checks a document set.
///
/// # Errors
///
/// Lists all errors of the base and of each overlay.
pub fn validate(documents: &Documents) -> Result<(), Vec<ConfigError>> {
    let base_findings = check_document(documents.base.clone());
    let mut errors = located(&DocumentName::Base, base_findings.clone());
    let known = sites(documents);
    for (site, overlay) in &documents.overlays {
        let name = DocumentName::Site(site.clone());
        let mut findings = Findings::default();
        findings.check(known.contains(site), "(document)", site, format!("the sites {}", list(&known)));
        check_overlay(overlay, &mut findings);
        let merged = check_document(documents.merged(site));
        findings.0.extend(merged.into_iter().filter(|finding| !base_findings.contains(finding)));
        errors.extend(located(&name, findings.0));
    }
    errors.sort();
    errors.dedup();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Checks the document set that replaces another one.
///
/// # Errors
///
/// Lists all errors of the new set, and capacities of which more than half would go.
pub fn validate_change(
    old: &Documents,
    new: &Documents,
    allow_capacity_drop: bool,
) -> Result<(), Vec<ConfigError>> {
    validate(new)?;
    let mut findings = Findings::default();
    let before = read::<CellDocument>(old.base.clone()).document;
    let after = read::<CellDocument>(new.base.clone()).document;
    if let (Some(before), Some(after), false) = (before, after, allow_capacity_drop) {
        for ((kind, old), (_, new)) in capacity(&before).into_iter().zip(capacity(&after)) {
            let allowed =
                format!("at least {} (half of {old}), or an edit with allow_capacity_drop", old.div_ceil(2));
            findings.check(new >= old.div_ceil(2), format!("workers ({kind})"), new, allowed);
        }
    }
    let errors = located(&DocumentName::Base, findings.0);
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Effective configuration of a site.
pub(super) fn build(documents: &Documents, site: &SiteId) -> Result<CellConfig, Vec<ConfigError>> {
    let name = DocumentName::Site(site.clone());
    let known = sites(documents);
    let mut findings = Findings::default();
    findings.check(known.contains(site), "(site)", site, format!("the sites {}", list(&known)));
    // The verdict covers the whole set. This version may still be unable to use what another one accepted.
    findings.0.extend(check_document(documents.merged(site)));
    let document = read::<CellDocument>(documents.merged(site)).document;
    let document = match document {
        Some(document) if findings.0.is_empty() => document,
        _ => return Err(located(&name, findings.0)),
    };
    let mut run_limit = document.classes.longest_run();
    for other in &known {
        if let Some(other) = read::<CellDocument>(documents.merged(other)).document {
            run_limit = run_limit.max(other.classes.longest_run());
        }
    }
    Ok(assemble(&document, site, run_limit))
}

fn assemble(document: &CellDocument, site: &SiteId, cell_run_limit: std::time::Duration) -> CellConfig {
    // Keys that are no names were refused by the validation.
    let text = serde_json::to_vec(document).unwrap_or_default();
    let racks = document.workers.build();
    CellConfig {
        cell: document.cell.clone(),
        site: site.clone(),
        sites: document.sites.iter().cloned().collect(),
        classes: document.classes.build(),
        teams: named(&document.teams, |_, team| team.into()),
        index: CellConfig::index(&racks),
        racks,
        services: named(&document.services, |id, service| Some(service.build(id.parse().ok()?)))
            .into_iter()
            .filter_map(|(id, service)| Some((id, service?)))
            .collect(),
        batch: jobs(&document.batch, JobKind::Batch),
        gangs: jobs(&document.gangs, JobKind::Gang),
        limits: (&document.limits).into(),
        cell_run_limit,
        digest: XxHash64::oneshot(0, &text),
    }
}

fn named<K, S, V>(sections: &BTreeMap<String, S>, build: impl Fn(&str, &S) -> V) -> BTreeMap<K, V>
where
    K: std::str::FromStr + Ord,
{
    let entry = |(name, section): (&String, &S)| Some((name.parse().ok()?, build(name, section)));
    sections.iter().filter_map(entry).collect()
}

fn jobs(
    sections: &BTreeMap<String, super::JobSection>,
    kind: JobKind,
) -> BTreeMap<crate::id::JobId, super::JobConfig> {
    let entry = |(name, section): (&String, &super::JobSection)| {
        let id: crate::id::JobId = name.parse().ok()?;
        Some((id.clone(), section.build(id, kind)))
    };
    sections.iter().filter_map(entry).collect()
}

/// Errors of one merged document.
fn check_document(value: Value) -> Vec<Finding> {
    let mut findings = Findings::default();
    let size = value.to_string().len();
    if size > DOCUMENT_LIMIT {
        findings.check(false, "(document size)", size, format!("at most {DOCUMENT_LIMIT} bytes"));
        return findings.0;
    }
    let reading = read::<CellDocument>(value);
    if let Some(document) = &reading.document {
        check_cell(document, &mut findings);
        bounds::check(document, &mut findings);
        fleet::check(document, &mut findings);
        // Checks over several values would find errors about placeholders.
        if reading.placeholders.is_empty() {
            bounds::check_shares(document, &mut findings);
            work::check(document, &mut findings);
        }
    }
    let real = |finding: &Finding| !reading.placeholders.iter().any(|path| is_within(&finding.path, path));
    let semantic: Vec<Finding> = findings.0.into_iter().filter(real).collect();
    reading.findings.into_iter().chain(semantic).collect()
}

/// Whether a path is another one or lies below it.
fn is_within(path: &str, parent: &str) -> bool {
    path.strip_prefix(parent).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn check_cell(document: &CellDocument, findings: &mut Findings) {
    let cell = SiteId::new(&document.cell);
    findings.check(
        cell.is_ok(),
        "cell",
        &document.cell,
        "a name of 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'",
    );
    findings.range("sites (number)", document.sites.len(), 1, 64);
    let mut seen = BTreeSet::new();
    for (index, site) in document.sites.iter().enumerate() {
        let path = format!("sites[{index}]");
        findings.check(seen.insert(site), path.as_str(), site, "each site once");
        findings.check(site.as_str() != BASE, path, site, "any name but \"base\"");
    }
}

fn check_overlay(overlay: &Value, findings: &mut Findings) {
    let Some(sections) = overlay.as_object() else {
        findings.check(false, "(document)", overlay, "an object that is merged over the base");
        return;
    };
    for (name, section) in sections {
        let allowed = "in an overlay only classes, teams (weight) and limits; change the base instead";
        findings.check(OVERLAY_SECTIONS.contains(&name.as_str()), name, section, allowed);
    }
    let teams = sections.get("teams").and_then(Value::as_object);
    for (team, section) in teams.into_iter().flatten() {
        let Some(fields) = section.as_object() else {
            findings.check(
                false,
                format!("teams.{team}"),
                section,
                "in an overlay only the weight of a team",
            );
            continue;
        };
        for (field, value) in fields {
            let path = format!("teams.{team}.{field}");
            findings.check(field == "weight", path, value, "in an overlay only the weight of a team");
        }
    }
}

fn sites(documents: &Documents) -> BTreeSet<SiteId> {
    let listed = documents.base.get("sites").and_then(Value::as_array);
    let names = listed.into_iter().flatten().filter_map(Value::as_str);
    names.filter_map(|name| name.parse().ok()).collect()
}

fn list(sites: &BTreeSet<SiteId>) -> String {
    let names: Vec<&str> = sites.iter().map(SiteId::as_str).collect();
    names.join(", ")
}

fn located(document: &DocumentName, findings: Vec<Finding>) -> Vec<ConfigError> {
    let error = |finding: Finding| ConfigError {
        document: document.clone(),
        path: finding.path,
        value: finding.value,
        allowed: finding.allowed,
    };
    findings.into_iter().map(error).collect()
}
