//! Storage for the journal.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A file that is appended to, or replaced as a whole.
pub trait Disk {
    /// Reads the whole file; empty if nothing has been written.
    ///
    /// # Errors
    /// The I/O error of the storage medium.
    fn load(&mut self) -> io::Result<Vec<u8>>;
    /// Appends bytes. Until the next [`Disk::sync`], a crash may lose all or part of them.
    ///
    /// # Errors
    /// The I/O error of the storage medium; part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all appended bytes are durable.
    ///
    /// # Errors
    /// The I/O error of the storage medium. Bytes appended since the last successful sync may be lost, and a
    /// later successful sync does not prove otherwise.
    fn sync(&mut self) -> io::Result<()>;
    /// Atomically replaces the whole content and syncs it.
    ///
    /// # Errors
    /// The I/O error of the storage medium; the old content is kept.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A journal file in a directory of its own.
pub struct FileDisk {
    folder: PathBuf,
    file: File,
}

const JOURNAL_FILE: &str = "quorum.journal";
const TEMPORARY_FILE: &str = "quorum.journal.next";

impl FileDisk {
    /// Opens the journal file in that directory, creating both if they are missing.
    ///
    /// # Errors
    /// The I/O error of the file system.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let file = OpenOptions::new().read(true).append(true).create(true).open(folder.join(JOURNAL_FILE))?;
        File::open(folder)?.sync_all()?;
        Ok(FileDisk { folder: folder.to_path_buf(), file })
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(JOURNAL_FILE))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(TEMPORARY_FILE);
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, self.folder.join(JOURNAL_FILE))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(JOURNAL_FILE))?;
        Ok(())
    }
}
