//! A copy of the capacity page's files.

use super::pages::{differing, work_out};
use std::path::{Path, PathBuf};

/// The repository's pages.
pub fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

/// A copy of the repository's files, in a directory that goes with it.
pub struct Copy(pub PathBuf);

impl Copy {
    /// A copy; `name` tells those of different tests apart.
    pub fn new(name: &str) -> Copy {
        let to = std::env::temp_dir().join(format!("asterrill-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(to.join("capacity")).unwrap();
        std::fs::copy(docs().join("CAPACITY.md"), to.join("CAPACITY.md")).unwrap();
        for file in std::fs::read_dir(docs().join("capacity")).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join("capacity").join(file.file_name())).unwrap();
        }
        Copy(to)
    }
    /// Changes the text of a file.
    pub fn change(&self, file: &str, change: impl FnOnce(String) -> String) {
        let path = self.0.join(file);
        let text = change(std::fs::read_to_string(&path).unwrap());
        std::fs::write(path, text).unwrap();
    }
    /// The names of files that are not what they have to be.
    pub fn differing(&self) -> Vec<String> {
        let pages = work_out(&self.0).unwrap();
        let names =
            differing(&pages).into_iter().map(|path| path.file_name().unwrap().to_str().unwrap().into());
        names.collect()
    }
    /// Why the page can't be worked out.
    pub fn wrong(&self) -> String {
        work_out(&self.0).map(|_| ()).unwrap_err().to_string()
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
