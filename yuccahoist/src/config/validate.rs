//! Validation of a document set and of the change to another one.
//!
//! All errors are reported at once, each with document, field path, value and allowed values.

mod bounds;
mod fleet;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::Value;
use twox_hash::XxHash64;

use self::fleet::fleet_capacity;
use super::document::BASE_DOCUMENT;
use super::read::{Finding, read_document, truncate};
use super::{CellConfig, CellDocument, DocumentName, Documents};
use crate::id::SiteId;
use crate::job::JobKind;

/// Sections that an overlay may contain.
///
/// The other sections describe workers and jobs. Shards and partitions move between the hosts of all sites, so a worker
/// whose capacity differed by site could be overcommitted after a takeover.
const OVERLAY_SECTIONS: [&str; 3] = ["classes", "teams", "limits"];

/// Largest document as compact JSON. Hosts validate edits between requests, so the time for it must be bounded.
const MAX_DOCUMENT_BYTES: usize = 256 << 10;

/// Validation error of one value in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Document that contains the value.
    pub document: DocumentName,
    /// Path of the field, such as `workers.racks[0].zone`. Parentheses mark a computed value, such as a sum.
    pub path: String,
    /// Value, truncated.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: found {}; allowed: {}", self.document, self.path, self.value, self.allowed)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    /// Adds an error unless the value is allowed.
    fn check(
        &mut self,
        is_allowed: bool,
        path: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) {
        if !is_allowed {
            let value = truncate(&value.to_string());
            self.0.push(Finding { path: path.into(), value, allowed: allowed.into() });
        }
    }

    /// Adds an error unless the number is in the range from `min` to `max`, both included.
    fn range<T: PartialOrd + fmt::Display + Copy>(
        &mut self,
        path: impl Into<String>,
        value: T,
        min: T,
        max: T,
    ) {
        let is_allowed = min <= value && value <= max;
        self.check(is_allowed, path, value, format!("{min} to {max}"));
    }
}

/// Validates a document set.
///
/// # Errors
///
/// Returns all errors of the base and of each merged overlay.
pub fn validate(documents: &Documents) -> Result<(), Vec<ConfigError>> {
    let base_findings = check_document(documents.base.clone());
    let mut errors = to_errors(&DocumentName::Base, base_findings.clone());
    let known_sites = listed_sites(documents);
    for (site, overlay) in &documents.overlays {
        let name = DocumentName::Site(site.clone());
        let mut findings = Findings::default();
        findings.check(
            known_sites.contains(site),
            "(document)",
            site,
            format!("the sites {}", join_names(&known_sites)),
        );
        check_overlay(overlay, &mut findings);
        let merged = check_document(documents.merged(site));
        findings.0.extend(merged.into_iter().filter(|finding| !base_findings.contains(finding)));
        errors.extend(to_errors(&name, findings.0));
    }
    errors.sort();
    errors.dedup();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Validates a document set that replaces another one.
///
/// # Errors
///
/// Returns all errors of the new set. If there are none and capacity drops are not allowed, returns each capacity of
/// which more than half would be removed.
pub fn validate_change(
    old: &Documents,
    new: &Documents,
    allow_capacity_drop: bool,
) -> Result<(), Vec<ConfigError>> {
    validate(new)?;
    let mut findings = Findings::default();
    let before = read_document::<CellDocument>(old.base.clone()).document;
    let after = read_document::<CellDocument>(new.base.clone()).document;
    if let (Some(before), Some(after), false) = (before, after, allow_capacity_drop) {
        for ((kind, old), (_, new)) in fleet_capacity(&before).into_iter().zip(fleet_capacity(&after)) {
            let allowed =
                format!("at least {} (half of {old}), or an edit with allow_capacity_drop", old.div_ceil(2));
            findings.check(new >= old.div_ceil(2), format!("workers ({kind})"), new, allowed);
        }
    }
    let errors = to_errors(&DocumentName::Base, findings.0);
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Builds the effective configuration of a site.
pub(super) fn build(documents: &Documents, site: &SiteId) -> Result<CellConfig, Vec<ConfigError>> {
    let name = DocumentName::Site(site.clone());
    let known_sites = listed_sites(documents);
    let mut findings = Findings::default();
    findings.check(
        known_sites.contains(site),
        "(site)",
        site,
        format!("the sites {}", join_names(&known_sites)),
    );
    // The set was accepted by a verdict, but perhaps of another version, whose rules may differ.
    findings.0.extend(check_document(documents.merged(site)));
    let document = read_document::<CellDocument>(documents.merged(site)).document;
    let document = match document {
        Some(document) if findings.0.is_empty() => document,
        _ => return Err(to_errors(&name, findings.0)),
    };
    let mut run_limit = document.classes.max_run_limit();
    for other_site in &known_sites {
        if let Some(other) = read_document::<CellDocument>(documents.merged(other_site)).document {
            run_limit = run_limit.max(other.classes.max_run_limit());
        }
    }
    Ok(assemble(&document, site, run_limit))
}

fn assemble(document: &CellDocument, site: &SiteId, cell_run_limit: std::time::Duration) -> CellConfig {
    // Validation has rejected keys that are not valid names, so the conversions below drop none.
    let text = serde_json::to_vec(document).unwrap_or_default();
    let racks = document.workers.build();
    CellConfig {
        cell: document.cell.clone(),
        site: site.clone(),
        sites: document.sites.iter().cloned().collect(),
        classes: document.classes.build(),
        teams: build_by_name(&document.teams, |_, team| team.into()),
        index: CellConfig::index(&racks),
        racks,
        services: build_by_name(&document.services, |id, service| Some(service.build(id.parse().ok()?)))
            .into_iter()
            .filter_map(|(id, service)| Some((id, service?)))
            .collect(),
        batch: build_jobs(&document.batch, JobKind::Batch),
        gangs: build_jobs(&document.gangs, JobKind::Gang),
        limits: (&document.limits).into(),
        cell_run_limit,
        digest: XxHash64::oneshot(0, &text),
    }
}

/// Builds the value of each section whose key is a valid name.
fn build_by_name<K, S, V>(sections: &BTreeMap<String, S>, build: impl Fn(&str, &S) -> V) -> BTreeMap<K, V>
where
    K: std::str::FromStr + Ord,
{
    let entry = |(name, section): (&String, &S)| Some((name.parse().ok()?, build(name, section)));
    sections.iter().filter_map(entry).collect()
}

fn build_jobs(
    sections: &BTreeMap<String, super::JobSection>,
    kind: JobKind,
) -> BTreeMap<crate::id::JobId, super::JobConfig> {
    let entry = |(name, section): (&String, &super::JobSection)| {
        let id: crate::id::JobId = name.parse().ok()?;
        Some((id.clone(), section.build(id, kind)))
    };
    sections.iter().filter_map(entry).collect()
}

/// Returns all errors of one merged document.
fn check_document(value: Value) -> Vec<Finding> {
    let mut findings = Findings::default();
    let size = value.to_string().len();
    if size > MAX_DOCUMENT_BYTES {
        findings.check(false, "(document size)", size, format!("at most {MAX_DOCUMENT_BYTES} bytes"));
        return findings.0;
    }
    let outcome = read_document::<CellDocument>(value);
    if let Some(document) = &outcome.document {
        check_cell(document, &mut findings);
        bounds::check(document, &mut findings);
        fleet::check(document, &mut findings);
        // Checks over several values would report errors caused by placeholders.
        if outcome.placeholders.is_empty() {
            bounds::check_shares(document, &mut findings);
            work::check(document, &mut findings);
        }
    }
    let outside_placeholders =
        |finding: &Finding| !outcome.placeholders.iter().any(|path| is_within(&finding.path, path));
    let semantic: Vec<Finding> = findings.0.into_iter().filter(outside_placeholders).collect();
    outcome.findings.into_iter().chain(semantic).collect()
}

/// Whether a path is equal to `parent` or below it.
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
        findings.check(site.as_str() != BASE_DOCUMENT, path, site, "any name but \"base\"");
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

/// Returns the valid site names that the base document lists, even if the rest of it is invalid.
fn listed_sites(documents: &Documents) -> BTreeSet<SiteId> {
    let listed = documents.base.get("sites").and_then(Value::as_array);
    let names = listed.into_iter().flatten().filter_map(Value::as_str);
    names.filter_map(|name| name.parse().ok()).collect()
}

fn join_names(sites: &BTreeSet<SiteId>) -> String {
    let names: Vec<&str> = sites.iter().map(SiteId::as_str).collect();
    names.join(", ")
}

fn to_errors(document: &DocumentName, findings: Vec<Finding>) -> Vec<ConfigError> {
    let error = |finding: Finding| ConfigError {
        document: document.clone(),
        path: finding.path,
        value: finding.value,
        allowed: finding.allowed,
    };
    findings.into_iter().map(error).collect()
}
