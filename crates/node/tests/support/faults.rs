//! Fault injection: writes the control file of the preloaded library that shifts a daemon's wall clock and makes its
//! system calls fail.
use super::Folder;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Layout of the control file in 8-byte words, as documented by `corkbay-shim`.
const PAGE: u64 = 4096;
const WORD: u64 = 8;
const FIRST_FAULT: u64 = 8;
const WORDS_PER_FAULT: u64 = 4;
const NANOS_PER_SECOND: f64 = 1e9;

/// System calls that can be made to fail, in the order of their words in the control file.
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

/// The injected faults of one daemon.
pub struct Faults {
    control: File,
    path: PathBuf,
    _folder: Folder,
}

impl Faults {
    /// Starts with no faults and an unshifted clock.
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

    /// Environment variables to start the daemon with.
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

    /// Shifts the wall clock by that many seconds, which may be negative.
    pub fn step_clock(&self, seconds: f64) {
        let offset = self.get(0) as i64 + (seconds * NANOS_PER_SECOND) as i64;
        self.set(0, offset as u64);
    }

    /// From now on every `period`-th call fails with `error`, at most `most` times; with `error` 0 it transfers only half
    /// of its bytes instead.
    pub fn fail(&self, call: Call, period: u64, error: i32, most: u64) {
        let first = FIRST_FAULT + call as u64 * WORDS_PER_FAULT;
        self.set(first + 1, error as u64);
        self.set(first + 2, most);
        self.set(first, period);
    }

    /// Remaining failures of those that were set by [`Faults::fail`].
    pub fn left(&self, call: Call) -> u64 {
        self.get(FIRST_FAULT + call as u64 * WORDS_PER_FAULT + 2)
    }

    /// Stops failing that call.
    pub fn mend(&self, call: Call) {
        self.set(FIRST_FAULT + call as u64 * WORDS_PER_FAULT, 0);
    }
}

/// Path of the preloaded library, which is built once per test binary.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
        let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../shim/Cargo.toml");
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--offline", "--manifest-path"]).arg(manifest);
        assert!(build.status().expect("cargo runs").success(), "the library is built");
        // The library is next to `deps`, the folder of the test binaries.
        let program = std::env::current_exe().expect("this program");
        let folder = program.ancestors().nth(2).expect("its folder");
        let path = folder.join("libcorkbay_shim.so");
        assert!(path.exists(), "{} exists", path.display());
        path
    })
}
