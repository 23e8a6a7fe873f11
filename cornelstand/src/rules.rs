//! Validation of a configuration, run before a release note is accepted.
//!
//! Only items that the note touches are checked individually; references between items are checked
//! over the whole result, because a note may break them from either side.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::config::{Account, Config, Endpoint, Service};
use crate::name::{EndpointName, is_name};
use crate::note::{Items, Note, NoteProblem, Reason};

/// Hexadecimal digits of a key's SHA-256 hash.
const KEY_DIGITS: usize = 64;

/// Adds every rule violation in `next`, the result of `note`, to `problems`.
pub(crate) fn check(next: &Config, note: &Note, problems: &mut Vec<NoteProblem>) {
    let mut rules = Rules { problems };
    rules.items("added", &note.added);
    rules.items("changed", &note.changed);
    rules.references(next, note);
    rules.keys(next);
    rules.addresses(next);
}

struct Rules<'a> {
    problems: &'a mut Vec<NoteProblem>,
}

impl Rules<'_> {
    fn require(&mut self, holds: bool, place: impl Display, reason: Reason) {
        if !holds {
            self.problems.push(NoteProblem::at(place, reason));
        }
    }

    fn require_least(&mut self, value: u64, least: u64, place: impl Display) {
        self.require(value >= least, place, Reason::TooSmall(least));
    }

    fn items(&mut self, part: &str, items: &Items) {
        for (name, account) in &items.accounts {
            self.name(name, &format!("{part}.accounts"));
            self.account(account, &format!("{part}.accounts.{name}"));
        }
        for (name, service) in &items.services {
            self.name(name, &format!("{part}.services"));
            self.service(service, &format!("{part}.services.{name}"));
        }
        for (name, endpoint) in &items.endpoints {
            self.name(name, &format!("{part}.endpoints"));
            self.endpoint(endpoint, &format!("{part}.endpoints.{name}"));
        }
        for name in items.centres.keys() {
            self.name(name, &format!("{part}.centres"));
        }
    }

    fn name(&mut self, name: &impl Display, place: &str) {
        let text = name.to_string();
        self.require(is_name(&text), format!("{place}.{text}"), Reason::BadName);
    }

    fn account(&mut self, account: &Account, place: &str) {
        self.require_least(account.share.into(), 1, format!("{place}.share"));
        self.require_least(account.queue.into(), 1, format!("{place}.queue"));
        for (index, key) in account.keys.iter().enumerate() {
            let place = format!("{place}.keys[{index}]");
            self.require(is_key(key), place, Reason::BadKey);
        }
    }

    fn service(&mut self, service: &Service, place: &str) {
        self.require_least(service.cells.into(), 1, format!("{place}.cells"));
        self.require_least(service.estimate, 1, format!("{place}.estimate"));
        for (index, route) in service.routes.iter().enumerate() {
            let place = format!("{place}.routes[{index}].prefix");
            self.require(route.prefix.starts_with('/'), &place, Reason::BadPrefix);
            let first = service.routes.iter().position(|r| r.prefix == route.prefix);
            self.require(first == Some(index), &place, Reason::SamePrefix);
        }
    }

    fn endpoint(&mut self, endpoint: &Endpoint, place: &str) {
        self.require_least(endpoint.cold.into(), 1, format!("{place}.cold"));
        let cold = endpoint.cold.into();
        self.require_least(endpoint.warm.into(), cold, format!("{place}.warm"));
    }

    fn references(&mut self, next: &Config, note: &Note) {
        for (name, endpoint) in &next.endpoints {
            if !next.services.contains_key(&endpoint.service) {
                let withdrawn = note.withdrawn.services.contains(&endpoint.service);
                let absent = Reason::NoService(endpoint.service.clone());
                self.missing_target(name, "service", &endpoint.service, withdrawn, absent);
            }
            if !next.centres.contains_key(&endpoint.centre) {
                let withdrawn = note.withdrawn.centres.contains(&endpoint.centre);
                let absent = Reason::NoCentre(endpoint.centre.clone());
                self.missing_target(name, "centre", &endpoint.centre, withdrawn, absent);
            }
        }
    }

    /// Reports that the `target` which `endpoint` names in `field` does not exist, because the note
    /// has `withdrawn` it or for the reason `absent`.
    fn missing_target(
        &mut self,
        endpoint: &EndpointName,
        field: &str,
        target: &impl Display,
        withdrawn: bool,
        absent: Reason,
    ) {
        if withdrawn {
            let place = format!("withdrawn.{field}s.{target}");
            self.require(false, place, Reason::InUse(endpoint.clone()));
        } else {
            self.require(false, format!("endpoints.{endpoint}.{field}"), absent);
        }
    }

    fn keys(&mut self, next: &Config) {
        let mut owners = BTreeMap::new();
        for (name, account) in &next.accounts {
            for (index, key) in account.keys.iter().enumerate() {
                if let Some(other) = owners.insert(key, name) {
                    let place = format!("accounts.{name}.keys[{index}]");
                    self.require(false, place, Reason::SharedKey(other.clone()));
                }
            }
        }
    }

    fn addresses(&mut self, next: &Config) {
        let mut owners = BTreeMap::new();
        for (name, endpoint) in &next.endpoints {
            if let Some(other) = owners.insert(endpoint.address, name) {
                let place = format!("endpoints.{name}.address");
                self.require(false, place, Reason::SharedAddress(other.clone()));
            }
        }
    }
}

fn is_key(text: &str) -> bool {
    text.len() == KEY_DIGITS
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
