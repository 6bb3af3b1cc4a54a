//! A stand-in for the platform's key-value service.
//!
//! It serves the same store as [`Memory`] over HTTP. Below [`control::FAULTS_PATH`] and its
//! siblings it can be told at run time to be slow or down, to lose answers, to let a lease lapse
//! early and to go back to an older state; the calls so far can be read there as well.

pub mod control;

mod answer;
mod routes;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use cassiashunt_platform::{Faults, Memory, MemoryOptions};
use tiny_http::Server;

/// Settings of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How many threads serve requests other than watches.
    pub threads: usize,
    /// How many watches may wait at once.
    pub max_watches: usize,
    /// The faults in force from the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            threads: 8,
            max_watches: 256,
            faults: Faults::default(),
        }
    }
}

/// A running stand-in; it stops when this is dropped.
pub struct Handle {
    addr: SocketAddr,
    server: Arc<Server>,
    memory: Arc<Memory>,
    stopping: Arc<AtomicBool>,
    workers: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Where the stand-in listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Where the stand-in listens, as a URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// The store behind the stand-in.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Stops serving and waits for the serving threads.
    pub fn stop(mut self) {
        self.halt();
    }

    fn halt(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            // A worker that panicked has nothing left to stop.
            let _ = worker.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.halt();
    }
}

/// Serves a fresh store on `addr`.
///
/// # Errors
///
/// Fails where the address cannot be listened on.
pub fn serve(addr: SocketAddr, options: Options) -> io::Result<Handle> {
    let server = Server::http(addr).map_err(io::Error::other)?;
    let server = Arc::new(server);
    let addr = local_addr(&server)?;
    let memory = Memory::new(MemoryOptions {
        faults: options.faults,
        ..MemoryOptions::default()
    });
    let memory = Arc::new(memory);
    let stopping = Arc::new(AtomicBool::new(false));
    let site = routes::Site::new(Arc::clone(&memory), options.max_watches);
    let workers = (0..options.threads)
        .map(|_| spawn_worker(&server, &site, &stopping))
        .collect();
    Ok(Handle {
        addr,
        server,
        memory,
        stopping,
        workers,
    })
}

fn local_addr(server: &Server) -> io::Result<SocketAddr> {
    let addr = server.server_addr().to_ip();
    addr.ok_or_else(|| io::Error::other("the stand-in does not listen on an IP address"))
}

fn spawn_worker(
    server: &Arc<Server>,
    site: &routes::Site,
    stopping: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let server = Arc::clone(server);
    let stopping = Arc::clone(stopping);
    let site = site.clone();
    thread::spawn(move || {
        while !stopping.load(Ordering::SeqCst) {
            if let Ok(req) = server.recv() {
                site.serve(req);
            }
        }
    })
}
