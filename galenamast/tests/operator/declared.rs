//! Declarative configuration files: error texts, duplicates across files, and version stages.

use galenamast::config::{load_objects, parse_objects};
use galenamast::state::{ConfigImage, VersionStage};

#[test]
fn errors_name_file_line_key_and_accepted_values() {
    let cases = [
        (
            "[workspace a]\nquality_target = 7\n",
            "f:2: [workspace a] quality_target = 7: must be 0 to 1",
        ),
        (
            "[workspace a]\ntask_target.fit = high\n",
            "f:2: [workspace a] task_target.fit = high: must be 0 to 1",
        ),
        (
            "[workspace a]\nquality_goal = 0.8\n",
            "f:2: unknown key `quality_goal` in [workspace a]; did you mean `quality_target`?",
        ),
        (
            "[workspaces a]\n",
            "f:1: unknown section [workspaces a]; did you mean `workspace`?; sections are",
        ),
        (
            "[pool]\n",
            "f:1: [pool] must name the pool in at most 64 letters, digits and `._-`",
        ),
        (
            "[version fit]\npool = p\n",
            "f:1: [version fit] must be [version MODEL@VERSION]",
        ),
        (
            "\n[version fit@v1]\ninput_price = 3\n",
            "f:2: [version fit@v1] needs the key `pool`",
        ),
        (
            "[version fit@v1]\npool = p\nstage = gone\n",
            "f:3: [version fit@v1] stage = gone: must be established, rolling_out or withdrawn",
        ),
        (
            "[rollout r]\nmodel = fit\ncandidate = v2\n",
            "f:1: [rollout r] needs the key `baseline`",
        ),
        (
            "[service s]\npool = p\nrule.1 = GET gear idempotent\n",
            "f:3: [service s] rule.1 = GET gear idempotent: must be METHOD PATH-PREFIX",
        ),
        (
            "[pool a]\n[pool a]\n",
            "f:2: section [pool a] is repeated; first on line 1",
        ),
        (
            "[pool a]\nkind = engine\nkind = service\n",
            "f:3: key `kind` of [pool a] is repeated; first on line 2",
        ),
        ("[pool a\n", "f:2: expecting"),
    ];
    for (text, expected) in cases {
        let error = parse_objects("f", text).expect_err("the text is invalid");
        assert!(error.to_string().contains(expected), "{text}: {error}");
    }
}

#[test]
fn duplicate_sections_are_found_across_files() {
    let directory = tempfile::tempdir().expect("a temporary directory can be made");
    let paths: Vec<_> = ["a.ini", "b.ini"]
        .map(|name| directory.path().join(name))
        .into();
    for path in &paths {
        std::fs::write(path, "[pool a]\n").expect("the file can be written");
    }
    let error = load_objects(&paths).expect_err("a pool is declared twice");
    assert!(
        error.to_string().contains("section [pool a] is also in"),
        "{error}"
    );
    let missing = directory.path().join("missing.ini");
    let error = load_objects(&[missing]).expect_err("the file is missing");
    assert!(error.to_string().starts_with("cannot read "), "{error}");
}

#[test]
fn a_withdrawn_version_stays_withdrawn_unless_the_file_states_a_stage() {
    let without_stage = "[version fit@v1]\npool = p\n";
    let withdrawn = format!("{without_stage}stage = withdrawn\n");
    let image_of = |text: &str, image: &ConfigImage| {
        let declared = parse_objects("f", text).expect("the text is valid");
        galenamast::coordination::assemble_image(image.generation, declared.changes(image))
    };
    let image = image_of(&withdrawn, &ConfigImage::default());
    let declared = parse_objects("f", without_stage).expect("the text is valid");
    assert!(declared.changes(&image).is_empty());
    let with_stage = format!("{without_stage}stage = established\n");
    let changed = image_of(&with_stage, &image);
    let key = galenamast::state::VersionKey::new("fit", "v1");
    let stage = changed.version(&key).map(|version| version.stage);
    assert_eq!(stage, Some(VersionStage::Established));
}
