//! A session keeps its version: every host accepts its token, and none accepts an altered token.

use std::time::Duration;

use proptest::prelude::{any, prop_assert, prop_assert_eq};

use galenamast::coordination::{
    ConfigObject, SessionClaims, SessionError, SessionSettings, SessionSigner, assemble_image,
};
use galenamast::state::{ConfigGeneration, SecretKey, SessionKeys, VersionKey};

use crate::support::property_runner;

/// Time at which the tokens are issued, in Unix milliseconds.
const ISSUED_UNIX_MS: u64 = 1_800_000_000_000;
const DAY_MS: u64 = 24 * 3_600 * 1_000;

fn signer(current: u8, previous: Option<u8>) -> SessionSigner {
    let keys = SessionKeys {
        current: SecretKey::from_bytes([current; 32]),
        previous: previous.map(|byte| SecretKey::from_bytes([byte; 32])),
    };
    SessionSigner::new(keys, SessionSettings::default())
}

fn claims() -> SessionClaims {
    SessionClaims {
        workspace: "counter".into(),
        session: "fitting-7".into(),
        version: VersionKey::new("fit", "v2"),
        generation: ConfigGeneration(41),
        issued_unix_ms: ISSUED_UNIX_MS,
    }
}

fn token(signer: &SessionSigner) -> String {
    signer.issue(&claims()).expect("the token is short enough")
}

#[test]
fn another_host_with_the_same_configuration_accepts_the_token() {
    let issued = token(&signer(1, None));
    let verified = signer(1, None).verify(&issued, &"counter".into(), ISSUED_UNIX_MS + 5);
    assert_eq!(verified, Ok(claims()));
}

#[test]
fn rotation_keeps_tokens_of_the_previous_key_and_drops_older_ones() {
    let issued = token(&signer(1, None));
    let cases = [
        (signer(2, Some(1)), Ok(claims())),
        (signer(3, Some(2)), Err(SessionError::Forged)),
        (signer(2, None), Err(SessionError::Forged)),
    ];
    for (rotated, expected) in cases {
        assert_eq!(
            rotated.verify(&issued, &"counter".into(), ISSUED_UNIX_MS),
            expected
        );
    }
}

#[test]
fn tokens_are_bound_to_workspace_and_time() {
    let signer = signer(1, None);
    let issued = token(&signer);
    let skew_ms = 60_000;
    let cases = [
        ("counter", ISSUED_UNIX_MS, Ok(claims())),
        ("counter", ISSUED_UNIX_MS + DAY_MS + skew_ms, Ok(claims())),
        (
            "counter",
            ISSUED_UNIX_MS + DAY_MS + skew_ms + 1,
            Err(SessionError::Expired),
        ),
        (
            "counter",
            ISSUED_UNIX_MS - skew_ms - 1,
            Err(SessionError::Expired),
        ),
        ("advice", ISSUED_UNIX_MS, Err(SessionError::OtherWorkspace)),
    ];
    for (workspace, now, expected) in cases {
        assert_eq!(signer.verify(&issued, &workspace.into(), now), expected);
    }
}

#[test]
fn text_that_is_no_token_is_malformed() {
    let signer = signer(1, None);
    let long = "A".repeat(4_096);
    for text in ["", "A", "not a token", "é", &long] {
        let refused = signer.verify(text, &"counter".into(), ISSUED_UNIX_MS);
        assert_eq!(refused, Err(SessionError::Malformed), "{text:.20}");
    }
    let mut oversized = claims();
    oversized.session = long.as_str().into();
    assert_eq!(signer.issue(&oversized), Err(SessionError::Malformed));
}

#[test]
fn every_truncation_is_refused() {
    let signer = signer(1, Some(2));
    let issued = token(&signer);
    for end in 0..issued.len() {
        let verified = signer.verify(&issued[..end], &"counter".into(), ISSUED_UNIX_MS);
        assert!(verified.is_err(), "accepted the first {end} characters");
    }
}

#[test]
fn every_bit_flip_is_refused() {
    let signer = signer(1, Some(2));
    let issued = token(&signer);
    for index in 0..issued.len() {
        for bit in 0..7 {
            let mut bytes = issued.clone().into_bytes();
            bytes[index] ^= 1 << bit;
            let altered = String::from_utf8(bytes).expect("the text stays ASCII");
            let verified = signer.verify(&altered, &"counter".into(), ISSUED_UNIX_MS);
            assert!(verified.is_err(), "accepted bit {bit} flipped at {index}");
        }
    }
}

#[test]
fn no_token_is_accepted_under_another_key() {
    let strategy = (any::<[u8; 32]>(), any::<[u8; 32]>(), any::<u64>());
    let outcome = property_runner(256).run(&strategy, |(first, second, generation)| {
        let with_key = |bytes| {
            let current = SecretKey::from_bytes(bytes);
            let keys = SessionKeys {
                current,
                previous: None,
            };
            SessionSigner::new(
                keys,
                SessionSettings {
                    max_age: Duration::MAX,
                    ..Default::default()
                },
            )
        };
        let claims = SessionClaims {
            generation: ConfigGeneration(generation),
            ..claims()
        };
        let issued = with_key(first)
            .issue(&claims)
            .expect("the token is short enough");
        let own = with_key(first).verify(&issued, &"counter".into(), ISSUED_UNIX_MS);
        prop_assert_eq!(own, Ok(claims));
        let other = with_key(second).verify(&issued, &"counter".into(), ISSUED_UNIX_MS);
        prop_assert!(first == second || other == Err(SessionError::Forged));
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn keys_come_from_the_configuration_and_are_not_printed() {
    let keys = SessionKeys {
        current: SecretKey::from_bytes([0xab; 32]),
        previous: Some(SecretKey::from_bytes([0xcd; 32])),
    };
    let object = ConfigObject::SessionKeys(keys.clone());
    let encoded = object.encode().expect("the keys can be encoded");
    let decoded = encoded.decode().expect("the content matches its digest");
    let image = assemble_image(ConfigGeneration(1), [decoded]);
    assert_eq!(image.session_keys.as_deref(), Some(&keys));
    let printed = format!("{image:?} {:?}", signer(0xab, Some(0xcd)));
    assert!(!printed.contains("abab") && !printed.contains("cdcd") && !printed.contains("171"));
}
