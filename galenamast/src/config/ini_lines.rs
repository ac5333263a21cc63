//! Line numbers of the sections and keys of an INI text.

use std::collections::BTreeMap;

/// Line numbers of the sections and keys of an INI text; the first line is 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct IniLines {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

/// A repeated section or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RepeatedEntry {
    /// Line of this repetition.
    pub(crate) line: usize,
    /// Line of the first occurrence.
    pub(crate) first_line: usize,
    /// Section or key, as shown in error messages.
    pub(crate) subject: String,
}

impl IniLines {
    /// Collects the line numbers of a text.
    pub(crate) fn scan(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with([';', '#']) {
                continue;
            }
            let header = line
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'));
            if let Some(name) = header {
                section = name.trim().to_owned();
                let occurrences = lines.sections.entry(section.clone()).or_default();
                occurrences.push(index + 1);
            } else if let Some((name, _)) = line.split_once(['=', ':']) {
                let key = (section.clone(), name.trim().to_owned());
                lines.keys.entry(key).or_default().push(index + 1);
            }
        }
        lines
    }

    /// Returns the line of a key; if the text lacks it, the line of its section or else 1.
    pub(crate) fn key_line(&self, section: &str, name: &str) -> usize {
        let key = (section.to_owned(), name.to_owned());
        let lines = self.keys.get(&key);
        let line = lines.and_then(|lines| lines.first()).copied();
        line.unwrap_or_else(|| self.section_line(section))
    }

    /// Returns the line of a section, or 1 if the text lacks it.
    pub(crate) fn section_line(&self, section: &str) -> usize {
        let lines = self.sections.get(section);
        lines.and_then(|lines| lines.first()).copied().unwrap_or(1)
    }

    /// Lists every repetition of a section or key.
    pub(crate) fn repetitions(&self) -> Vec<RepeatedEntry> {
        let mut repeated = Vec::new();
        for (section, lines) in &self.sections {
            repeated.extend(list_repetitions(lines, &format!("section [{section}]")));
        }
        for ((section, name), lines) in &self.keys {
            repeated.extend(list_repetitions(
                lines,
                &format!("key `{name}` of [{section}]"),
            ));
        }
        repeated
    }
}

/// Lists every occurrence after the first.
fn list_repetitions(lines: &[usize], subject: &str) -> Vec<RepeatedEntry> {
    let Some((first, rest)) = lines.split_first() else {
        return Vec::new();
    };
    let describe = |line: &usize| RepeatedEntry {
        line: *line,
        first_line: *first,
        subject: subject.to_owned(),
    };
    rest.iter().map(describe).collect()
}
