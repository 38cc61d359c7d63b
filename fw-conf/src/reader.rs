//! Reads the keys of one file and collects its problems.

use smol_str::SmolStr;

use crate::codec;
use crate::error;
use crate::key;
use crate::lines;

/// A key as given in the file.
struct GivenKey {
    section: SmolStr,
    key: SmolStr,
    value: SmolStr,
    line: usize,
}

/// A value that conflicts with the value of another key.
pub(crate) struct Conflict {
    pub section: &'static str,
    pub key: &'static str,
    pub why: &'static str,
}

impl Conflict {
    /// The conflict if `exists`.
    pub fn when(self, exists: bool) -> Option<Self> {
        exists.then_some(self)
    }
}

/// Reads one file, key by key.
pub(crate) struct Reader {
    file: SmolStr,
    given: Vec<GivenKey>,
    headers: Vec<(SmolStr, usize)>,
    problems: Vec<error::Problem>,
}

impl Reader {
    /// Splits `text` and checks its sections and keys against `known`.
    pub fn new(file: &str, text: &[u8], known: &[key::Section]) -> Self {
        let mut reader = Self {
            file: file.into(),
            given: Vec::new(),
            headers: Vec::new(),
            problems: Vec::new(),
        };
        reader.collect(text);
        reader.check_sections(known);
        reader.check_keys(known);
        reader.check_repeated();
        reader
    }

    /// The value of a key, or `default` if it is missing or invalid.
    pub fn take<C: codec::Codec>(
        &mut self,
        section: &'static str,
        name: &'static str,
        codec: &C,
        default: C::Value,
        presence: key::Presence,
    ) -> C::Value {
        let Some(given) = self.find(section, name) else {
            if presence == key::Presence::Required {
                let line = self.header_line(section);
                let fault = error::Fault::Missing;
                self.report(line, section, name, fault, &codec.allowed());
            }
            return default;
        };
        let (line, value) = (given.line, given.value.clone());
        let fault = match codec.read(&value) {
            Ok(value) => return value,
            Err(codec::Rejection::Type) => error::Fault::Type(lines::excerpt(&value)),
            Err(codec::Rejection::Range) => error::Fault::Range(lines::excerpt(&value)),
        };
        self.report(Some(line), section, name, fault, &codec.allowed());
        default
    }

    /// Reports values that conflict with each other.
    pub fn add_conflicts(&mut self, conflicts: Vec<Conflict>) {
        for Conflict { section, key, why } in conflicts {
            let given = self.find(section, key).map(|given| given.line);
            let line = given.or_else(|| self.header_line(section));
            self.report(line, section, key, error::Fault::Conflict(why.into()), "");
        }
    }

    /// Returns `settings` if no problem was found, and all problems otherwise.
    pub fn finish<T>(mut self, settings: T) -> Result<T, error::Errors> {
        if self.problems.is_empty() {
            return Ok(settings);
        }
        let order = |problem: &error::Problem| problem.line.unwrap_or(usize::MAX);
        self.problems.sort_by_key(order);
        Err(error::Errors {
            problems: self.problems,
        })
    }

    fn collect(&mut self, text: &[u8]) {
        let mut section = None;
        for lines::NumberedLine { number, line } in lines::split(text) {
            match line {
                lines::Line::Section(name) => {
                    self.headers.push((name.clone(), number));
                    section = Some(name);
                }
                lines::Line::Entry { key, value } => self.given.push(GivenKey {
                    section: section.clone().unwrap_or_default(),
                    key,
                    value,
                    line: number,
                }),
                lines::Line::Malformed(why) => self.problems.push(error::Problem {
                    file: self.file.clone(),
                    line: Some(number),
                    section: section.clone(),
                    key: None,
                    fault: error::Fault::Syntax(why),
                    allowed: "`[section]`, `key = value`, or a comment after `#` or `;`".into(),
                }),
            }
        }
    }

    fn check_sections(&mut self, known: &[key::Section]) {
        let names: Vec<_> = known.iter().map(|section| section.name).collect();
        let allowed = names.join(", ");
        for (name, line) in &self.headers {
            if names.contains(&name.as_str()) {
                continue;
            }
            self.problems.push(error::Problem {
                file: self.file.clone(),
                line: Some(*line),
                section: Some(lines::excerpt(name)),
                key: None,
                fault: error::Fault::UnknownSection,
                allowed: allowed.as_str().into(),
            });
        }
    }

    fn check_keys(&mut self, known: &[key::Section]) {
        for given in &self.given {
            let section = known.iter().find(|s| s.name == given.section);
            let allowed = match section {
                Some(section) if section.keys.iter().any(|k| k.name == given.key) => continue,
                Some(section) => {
                    let names: Vec<_> = section.keys.iter().map(|k| k.name).collect();
                    names.join(", ")
                }
                None if given.section.is_empty() => "keys within a `[section]`".to_owned(),
                None => "keys of known sections".to_owned(),
            };
            self.problems.push(error::Problem {
                file: self.file.clone(),
                line: Some(given.line),
                section: Some(lines::excerpt(&given.section)),
                key: Some(lines::excerpt(&given.key)),
                fault: error::Fault::UnknownKey,
                allowed: allowed.into(),
            });
        }
    }

    fn check_repeated(&mut self) {
        for (index, given) in self.given.iter().enumerate() {
            let same = |other: &&GivenKey| other.section == given.section && other.key == given.key;
            let Some(first) = self.given[..index].iter().find(same) else {
                continue;
            };
            self.problems.push(error::Problem {
                file: self.file.clone(),
                line: Some(given.line),
                section: Some(lines::excerpt(&given.section)),
                key: Some(lines::excerpt(&given.key)),
                fault: error::Fault::Repeated(first.line),
                allowed: "each key once".into(),
            });
        }
    }

    fn find(&self, section: &str, name: &str) -> Option<&GivenKey> {
        let is_key = |given: &&GivenKey| given.section == section && given.key == name;
        self.given.iter().find(is_key)
    }

    fn header_line(&self, section: &str) -> Option<usize> {
        let found = self.headers.iter().find(|(name, _)| name == section);
        found.map(|(_, line)| *line)
    }

    fn report(
        &mut self,
        line: Option<usize>,
        section: &str,
        key: &str,
        fault: error::Fault,
        allowed: &str,
    ) {
        self.problems.push(error::Problem {
            file: self.file.clone(),
            line,
            section: Some(section.into()),
            key: Some(key.into()),
            fault,
            allowed: allowed.into(),
        });
    }
}

/// The error for a file that cannot be read.
pub(crate) fn unreadable(file: &str, err: &std::io::Error) -> error::Errors {
    let problem = error::Problem {
        file: file.into(),
        line: None,
        section: None,
        key: None,
        fault: error::Fault::Unreadable(err.to_string().into()),
        allowed: "".into(),
    };
    error::Errors {
        problems: vec![problem],
    }
}
