//! Temporary copy of the files of the capacity page.

use super::pages::{generate, outdated_files};
use std::path::{Path, PathBuf};

/// Returns the documentation directory of the repository.
pub fn docs_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

/// Copy of the files in the repository, in a temporary directory that is removed on drop.
pub struct DocsCopy(pub PathBuf);

impl DocsCopy {
    /// Copies the files. `name` distinguishes the copies of different tests.
    pub fn new(name: &str) -> DocsCopy {
        let to = std::env::temp_dir().join(format!("asterrill-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(to.join("capacity")).unwrap();
        std::fs::copy(docs_dir().join("CAPACITY.md"), to.join("CAPACITY.md")).unwrap();
        for file in std::fs::read_dir(docs_dir().join("capacity")).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join("capacity").join(file.file_name())).unwrap();
        }
        DocsCopy(to)
    }
    /// Replaces the text of a file with the result of `change`.
    pub fn change(&self, file: &str, change: impl FnOnce(String) -> String) {
        let path = self.0.join(file);
        let text = change(std::fs::read_to_string(&path).unwrap());
        std::fs::write(path, text).unwrap();
    }
    /// Returns the names of the generated files that are not up to date.
    pub fn outdated_files(&self) -> Vec<String> {
        let pages = generate(&self.0).unwrap();
        let names =
            outdated_files(&pages).into_iter().map(|path| path.file_name().unwrap().to_str().unwrap().into());
        names.collect()
    }
    /// Returns the error of the generation, which has to fail.
    pub fn generate_error(&self) -> String {
        generate(&self.0).map(|_| ()).unwrap_err().to_string()
    }
}

impl Drop for DocsCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
