//! A control file for the library that steps a daemon's wall clock and fails its system calls.
use super::Folder;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Where the words of the control file stand, as `corkbay-shim` documents them.
const PAGE: u64 = 4096;
const WORD: u64 = 8;
const FIRST_FAULT: u64 = 8;
const WORDS_PER_FAULT: u64 = 4;
const NANOS_PER_SECOND: f64 = 1e9;

/// Calls that can be failed, in the order of their words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept,
    Connect,
    Socket,
    Receive,
    Send,
    Wait,
    FileWrite,
    Sync,
    Rename,
    Truncate,
}

/// The faults of one daemon.
pub struct Faults {
    control: File,
    path: PathBuf,
    _folder: Folder,
}

impl Faults {
    /// None yet, and a clock that is right.
    pub fn new() -> Self {
        let folder = Folder::new();
        let path = folder.0.join("control");
        let control = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)
            .expect("a control file");
        control.set_len(PAGE).expect("its size");
        Faults { control, path, _folder: folder }
    }

    /// What the daemon is started with.
    pub fn environment(&self) -> [(&'static str, String); 2] {
        let text = |path: &Path| path.to_str().expect("a plain path").to_string();
        [("LD_PRELOAD", text(library())), ("CORKBAY_SHIM", text(&self.path))]
    }

    fn set(&self, word: u64, value: u64) {
        self.control.write_all_at(&value.to_ne_bytes(), word * WORD).expect("written");
    }

    fn get(&self, word: u64) -> u64 {
        let mut bytes = [0; WORD as usize];
        self.control.read_exact_at(&mut bytes, word * WORD).expect("read");
        u64::from_ne_bytes(bytes)
    }

    /// Steps the wall clock by so many seconds, forward or back.
    pub fn step_clock(&self, seconds: f64) {
        let offset = self.get(0) as i64 + (seconds * NANOS_PER_SECOND) as i64;
        self.set(0, offset as u64);
    }

    /// From now on each call of that kind whose number the period divides fails with that error, so often at most; the
    /// error 0 stands for half of the bytes.
    pub fn fail(&self, call: Call, period: u64, error: i32, most: u64) {
        let first = FIRST_FAULT + call as u64 * WORDS_PER_FAULT;
        self.set(first + 1, error as u64);
        self.set(first + 2, most);
        self.set(first, period);
    }

    /// Failures of a call that are still to come, of those set at first.
    pub fn left(&self, call: Call) -> u64 {
        self.get(FIRST_FAULT + call as u64 * WORDS_PER_FAULT + 2)
    }

    /// Calls of that kind pass from now on.
    pub fn mend(&self, call: Call) {
        self.set(FIRST_FAULT + call as u64 * WORDS_PER_FAULT, 0);
    }
}

/// The library, built once for the whole program of tests.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
        let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../shim/Cargo.toml");
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--offline", "--manifest-path"]).arg(manifest);
        assert!(build.status().expect("cargo runs").success(), "the library is built");
        // Beside `deps`, where the programs of tests stand.
        let program = std::env::current_exe().expect("this program");
        let folder = program.ancestors().nth(2).expect("its folder");
        let path = folder.join("libcorkbay_shim.so");
        assert!(path.exists(), "{} stands", path.display());
        path
    })
}
