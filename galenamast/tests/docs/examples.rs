//! The example settings and configuration files are valid.

use std::collections::BTreeSet;

use galenamast::config::{check_files, load_objects};
use galenamast::coordination::{assemble_image, check_image};
use galenamast::state::{ConfigGeneration, ConfigImage};

use crate::support::{list, root};

#[test]
fn settings_of_both_deployments_are_valid() {
    let deployments = [
        (
            "examples/nieve-alta",
            8,
            vec!["base-lodge", "bosque", "cumbre", "taller"],
        ),
        (
            "examples/saurashtra",
            9,
            vec!["bhavnagar", "jamnagar", "rajkot"],
        ),
    ];
    for (directory, hosts, domains) in deployments {
        let mut found = BTreeSet::new();
        let mut names = BTreeSet::new();
        for path in list(directory, "ini") {
            if path.ends_with("configuration.ini") {
                continue;
            }
            let settings = check_files(&path).unwrap_or_else(|error| panic!("{error}"));
            found.insert(settings.host.domain.to_string());
            names.insert(settings.host.name);
        }
        assert_eq!(names.len(), hosts, "{directory}");
        assert_eq!(found.into_iter().collect::<Vec<_>>(), domains);
    }
    let single = root().join("examples/entry-host.ini");
    check_files(&single).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn declarative_files_of_both_deployments_are_valid() {
    for deployment in ["nieve-alta", "saurashtra"] {
        let path = root().join(format!("examples/{deployment}/configuration.ini"));
        let declared = load_objects(&[path]).unwrap_or_else(|error| panic!("{error}"));
        let objects = declared.changes(&ConfigImage::default());
        let image = assemble_image(ConfigGeneration(1), objects);
        assert_eq!(check_image(&image), [], "{deployment}");
    }
}
