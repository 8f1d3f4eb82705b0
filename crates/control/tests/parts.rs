//! Tests of cutting documents into parts and joining them.

mod support;

use std::collections::HashMap;
use std::collections::HashSet;

use support::document;

use tt_control::parts::AssembleError;
use tt_control::parts::MAX_PART_BYTES;
use tt_control::parts::Manifest;
use tt_control::parts::Part;
use tt_control::parts::assemble;
use tt_control::parts::split_document;
use tt_model::Digest;

fn digests(parts: &[Part]) -> HashSet<Digest> {
    parts.iter().map(|part| part.digest().clone()).collect()
}

/// Guards against cut points that depend on positions in the text: an edit would then change all
/// parts after it.
#[test]
fn an_edit_of_a_10_mb_document_changes_few_parts() {
    let before = document("big", 38_000, 50);
    assert!(before.len() > 10_000_000, "{} bytes", before.len());
    let parts = split_document(&before);
    let average = before.len() / parts.len();
    assert!((12_000..20_000).contains(&average), "average {average}");

    let old = digests(&parts);
    let mut max_changed = 0;
    for at in [0, 16_000, 37_999] {
        let line = format!("{{\"name\": \"s{at}\", \"class\"");
        let edited = before.replacen(&line, &format!("/* an added remark */ {line}"), 1);
        assert_ne!(edited, before);
        let new =
            split_document(&edited).iter().filter(|part| !old.contains(part.digest())).count();
        max_changed = max_changed.max(new);
    }
    println!(
        "{} parts, {average} bytes on average, an edit changes at most {max_changed}",
        parts.len()
    );
    assert!(max_changed <= 3, "{max_changed} parts changed");
}

/// Guards against parts that are too large for the store, which long lines could cause, and against
/// a cut inside a character of several bytes.
#[test]
fn every_text_is_cut_within_the_limits_and_joined_unchanged() {
    let texts = [
        String::new(),
        "no line end".to_owned(),
        "\n".repeat(100_000),
        "é".repeat(700_000),
        format!("{}\n{}", "a".repeat(400_000), "b".repeat(1_200_000)),
        document("small", 300, 50),
    ];
    for text in texts {
        let parts = split_document(&text);
        assert!(parts.iter().all(|part| part.text().len() <= MAX_PART_BYTES));
        let held: HashMap<Digest, Part> =
            parts.iter().map(|part| (part.digest().clone(), part.clone())).collect();
        let manifest = Manifest::of(&parts);
        let joined = assemble(&manifest, &Digest::of(text.as_bytes()), |d| held.get(d));
        assert_eq!(joined.as_deref(), Ok(text.as_str()));
        assert_eq!(Manifest::from_part(&manifest.to_part()), Some(manifest));
    }
}

/// Guards against using a document whose parts are missing, in the wrong order or damaged.
#[test]
fn incomplete_or_damaged_parts_are_not_joined() {
    let text = document("small", 300, 50);
    let parts = split_document(&text);
    let expect = Digest::of(text.as_bytes());
    let held = digests(&parts);
    let first = parts[0].clone();
    assert!(held.len() > 2);

    let without_first = |digest: &Digest| parts[1..].iter().find(|part| part.digest() == digest);
    let manifest = Manifest::of(&parts);
    let missing = assemble(&manifest, &expect, without_first);
    assert_eq!(missing, Err(AssembleError::Missing(first.digest().clone())));

    let mut swapped = manifest;
    swapped.0.swap(0, 1);
    let wrong = assemble(&swapped, &expect, |d| parts.iter().find(|part| part.digest() == d));
    assert!(matches!(wrong, Err(AssembleError::WrongDigest(_))), "{wrong:?}");

    assert_eq!(Part::verified(first.digest(), b"other"), None);
    assert_eq!(Part::verified(first.digest(), &[0xff]), None);
    assert_eq!(Part::verified(first.digest(), first.text().as_bytes()), Some(first.clone()));
}
