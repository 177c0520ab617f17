//! Checks that relative links and code paths in the documentation exist.

use std::fs;
use std::path::{Path, PathBuf};

/// Root of the repository.
const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Markdown files at the root and under `docs/`.
fn pages() -> Vec<PathBuf> {
    let mut pages = Vec::new();
    let mut folders = vec![Path::new(ROOT).join("docs")];
    let root = fs::read_dir(ROOT).expect("the root");
    pages.extend(
        root.map(|entry| entry.expect("an entry").path())
            .filter(|p| is_page(p)),
    );
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            match path.is_dir() {
                true => folders.push(path),
                false if is_page(&path) => pages.push(path),
                false => {}
            }
        }
    }
    pages
}

fn is_page(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "md")
}

/// Targets of a page's relative links, without fragments.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let relative = targets.map(|target| target.split('#').next().unwrap_or(""));
    relative
        .filter(|target| !target.is_empty() && !target.contains("://"))
        .collect()
}

/// Repository paths in a page's code spans.
fn paths(text: &str) -> Vec<&str> {
    let spans = text.split('`').skip(1).step_by(2);
    let known = ["crates/", "src/", "tests/", "docs/", "examples/"];
    let paths = spans.filter(|span| known.iter().any(|start| span.starts_with(start)));
    paths
        .filter(|span| !span.contains([' ', '*', '{', '\n']))
        .collect()
}

#[test]
fn links_and_paths_exist() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        let folder = page.parent().expect("a folder");
        let linked = links(&text).into_iter().map(|link| folder.join(link));
        let named = paths(&text)
            .into_iter()
            .map(|path| Path::new(ROOT).join(path));
        let missing = linked.chain(named).filter(|path| !path.exists());
        broken.extend(missing.map(|path| format!("{}: {}", page.display(), path.display())));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
