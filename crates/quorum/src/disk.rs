//! Where a journal stands.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// One file that grows at its end and is replaced as a whole.
pub trait Disk {
    /// All that stands there; empty where nothing was written yet.
    ///
    /// # Errors
    /// As the medium's.
    fn load(&mut self) -> io::Result<Vec<u8>>;
    /// Adds at the end. It may be lost in a crash, in part or in whole, until it is synced.
    ///
    /// # Errors
    /// As the medium's. What was added may then stand in part.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all that was added survives a crash.
    ///
    /// # Errors
    /// As the medium's. What was added since the last sync may then be lost, and syncing again proves nothing.
    fn sync(&mut self) -> io::Result<()>;
    /// Puts other content in the place of all that stands there, at once or not at all, and synced.
    ///
    /// # Errors
    /// As the medium's. The old content then stands.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A file in a folder of its own.
pub struct FileDisk {
    folder: PathBuf,
    file: File,
}

const NAME: &str = "quorum.journal";
const NEXT: &str = "quorum.journal.next";

impl FileDisk {
    /// The journal's file in that folder, made where there is none.
    ///
    /// # Errors
    /// As the file system's.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let file = OpenOptions::new().read(true).append(true).create(true).open(folder.join(NAME))?;
        File::open(folder)?.sync_all()?;
        Ok(FileDisk { folder: folder.to_path_buf(), file })
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(NAME))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let next = self.folder.join(NEXT);
        let mut file = File::create(&next)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&next, self.folder.join(NAME))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(NAME))?;
        Ok(())
    }
}
