//! Links and paths that the pages and the code name exist, and every page is on the index.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

#[test]
fn relative_links_of_the_pages_lead_somewhere() {
    let pages = files(Path::new(ROOT), "md");
    assert!(!pages.is_empty());

    let broken: Vec<_> = pages.iter().flat_map(|page| broken_links(page)).collect();

    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn pages_that_the_code_names_exist() {
    let root = Path::new(ROOT);
    let sources = ["rs", "toml", "md", "jsonc"].map(|ending| files(&root.join("crates"), ending));
    let mut missing = BTreeSet::new();

    for source in sources.iter().flatten() {
        let text = read(source);
        for path in named_pages(&text) {
            if !root.join(path).exists() {
                missing.insert(format!("{}: {path}", source.display()));
            }
        }
    }

    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn every_page_is_on_an_index() {
    let docs = Path::new(ROOT).join("docs");
    let mut listed = BTreeSet::new();
    let indexes = ["README.md", "docs/README.md", "docs/operators/README.md"];
    for index in indexes.map(|index| Path::new(ROOT).join(index)) {
        for link in links(&read(&index)) {
            listed.insert(resolved(&index, &link));
        }
    }

    let pages = files(&docs, "md");
    let unlisted: Vec<_> = pages
        .iter()
        .map(|page| canonical(page))
        .filter(|page| *page != canonical(&docs.join("README.md")))
        .filter(|page| !listed.contains(&Some(page.clone())))
        .collect();

    assert!(unlisted.is_empty(), "{unlisted:#?}");
}

#[test]
fn every_crate_has_a_readme_and_is_on_the_map() {
    let map = read(&Path::new(ROOT).join("docs/architecture.md"));
    for manifest in files(&Path::new(ROOT).join("crates"), "toml") {
        let folder = manifest.parent().expect("a manifest stands in a folder");
        let name = folder.file_name().expect("a crate has a name");
        let name = name.to_string_lossy();

        assert!(folder.join("README.md").exists(), "{name} has no README.md");
        assert!(
            map.contains(&format!("`{name}`")),
            "{name} is not on the map"
        );
    }
}

/// Links of a page that lead nowhere, or to a heading that is not there.
fn broken_links(page: &Path) -> Vec<String> {
    let links = links(&read(page));
    let broken = links.into_iter().filter(|link| !leads(page, link));
    broken
        .map(|link| format!("{}: {link}", page.display()))
        .collect()
}

fn leads(page: &Path, link: &str) -> bool {
    let Some(target) = resolved(page, link) else {
        return false;
    };
    match link.split_once('#') {
        Some((_, anchor)) => anchors(&read(&target)).contains(anchor),
        None => true,
    }
}

/// The file that a link leads to, if it is there.
fn resolved(page: &Path, link: &str) -> Option<PathBuf> {
    let path = link.split('#').next().unwrap_or_default();
    if path.is_empty() {
        return Some(canonical(page));
    }
    let folder = page.parent().expect("a page stands in a folder");
    folder.join(path).canonicalize().ok()
}

/// Targets of the Markdown links of a text that stay within the repository.
fn links(text: &str) -> Vec<String> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split_once(')'));
    targets
        .map(|(target, _)| target.to_owned())
        .filter(|target| !target.contains("://"))
        .collect()
}

/// Anchors of the headings of a page.
fn anchors(text: &str) -> BTreeSet<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    headings
        .map(|line| {
            let heading = line.trim_start_matches('#').trim().to_lowercase();
            let kept = heading
                .chars()
                .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'));
            kept.map(|c| if c == ' ' { '-' } else { c }).collect()
        })
        .collect()
}

/// Paths under `docs/` that a text names. A path in braces counts as it stands, and so as missing: tools can't follow it.
fn named_pages(text: &str) -> impl Iterator<Item = &str> {
    text.match_indices("docs/").filter_map(|(start, _)| {
        let rest = &text[start..];
        let end = rest
            .find(|c: char| !(c.is_ascii_alphanumeric() || "/-_.{,}".contains(c)))
            .unwrap_or(rest.len());
        let path = rest[..end].trim_end_matches(['.', ',']);
        path.ends_with(".md").then_some(path)
    })
}

/// Files with an ending below a folder, but for builds and hidden folders.
fn files(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).expect("the folder can be listed");
    for entry in entries {
        let path = entry.expect("the folder can be listed").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with('.') || name == "target" {
            continue;
        }
        if path.is_dir() {
            found.extend(files(&path, ending));
        } else if path.extension().is_some_and(|known| known == ending) {
            found.push(path);
        }
    }
    found
}

fn canonical(path: &Path) -> PathBuf {
    path.canonicalize().expect("the file is there")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("the file can be read")
}
