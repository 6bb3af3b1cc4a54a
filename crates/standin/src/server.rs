//! A stand-in for a backend server: slots, service times, child calls, and faults on request.
//!
//! It serves over a small HTTP loop of its own instead of `tiny_http`; [`http`] says why.
//!
//! Paths besides the configured ones: `GET /load` and `GET /health`, which lag and lie as set;
//! `DELETE /cancel/<id or ticket>`; and for tests `GET /standin/stats`, `GET /standin/runs` and
//! `POST /standin/set`, whose JSON object is merged into the settings.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod answer;
mod control;
pub mod http;
mod options;
mod record;
mod state;
mod work;

pub use answer::{body, digest};
pub use control::Load;
pub use options::{Child, Endpoint, Options, Order, Peer, Report, ServiceTime, Spread};
pub use record::{Journal, Outcome, Record, Stats};
pub use work::{
    CRASH_HEADER, CRASH_MARK, DIGEST_HEADER, ID_HEADER, TICKET_HEADER, TIMEOUT_HEADER,
    VERDICT_HEADER,
};

use cassiashunt_resolve::IpResolver;
use http::Connection;
use state::State;
use ureq::unversioned::transport::DefaultConnector;
use work::Reply;

/// The stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// The exit code of a process that a marked request crashed.
const CRASH_EXIT_CODE: i32 = 101;
/// How long a restart tries to get its port back.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two tries of that.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// A running stand-in; it stops when this is dropped.
pub struct Handle {
    /// The address that it listens on.
    pub addr: SocketAddr,
    server: Arc<Server>,
}

/// What the accepting thread and the connections of one stand-in share.
struct Server {
    addr: SocketAddr,
    state: Arc<State>,
    agent: ureq::Agent,
    control: control::Reporter,
    /// Set while nothing listens, or while the listener is about to close.
    is_down: AtomicBool,
    /// Set once nothing may start the server again.
    is_stopped: AtomicBool,
    /// Held while the listener's thread is started or joined.
    listener: Mutex<Option<thread::JoinHandle<()>>>,
}

/// Starts a stand-in.
///
/// # Errors
///
/// Fails where the address is not a loopback address or cannot be bound.
pub fn serve(options: Options) -> io::Result<Handle> {
    if !options.listen.ip().is_loopback() {
        let what = format!("{} is no loopback address", options.listen);
        return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    }
    let listener = TcpListener::bind(options.listen)?;
    let addr = listener.local_addr()?;
    let server = Arc::new(Server {
        addr,
        state: Arc::new(State::new(options)),
        agent: agent(),
        control: control::Reporter::default(),
        is_down: AtomicBool::new(true),
        is_stopped: AtomicBool::new(false),
        listener: Mutex::default(),
    });
    server.listen(listener)?;
    Ok(Handle { addr, server })
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(4_096)
        .max_idle_connections_per_host(1_024)
        .max_redirects(0)
        .proxy(None)
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

impl Handle {
    /// The counts so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.server.state.stats()
    }

    /// Every recorded run so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Record> {
        self.server.state.runs()
    }

    /// The settings in force.
    #[must_use]
    pub fn options(&self) -> Options {
        (*self.server.state.options()).clone()
    }

    /// Changes the settings of a running server; requests that run keep theirs.
    pub fn set(&self, change: impl FnOnce(&mut Options)) {
        let mut options = self.options();
        change(&mut options);
        self.server.state.set_options(options);
    }

    /// Drops every connection and refuses new ones until [`Handle::restart`].
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Whether the server has crashed or was stopped.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.server.is_down.load(Ordering::SeqCst)
    }

    /// Starts a crashed server again at the same address, cold.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound again, or after [`Handle::stop`].
    pub fn restart(&self) -> io::Result<()> {
        self.server.restart()
    }

    /// Closes every connection, stops listening for good, and leaves its runs in the journal.
    pub fn stop(&self) {
        let was_stopped = self.server.is_stopped.swap(true, Ordering::SeqCst);
        self.server.end();
        if !was_stopped {
            self.options().journal.leave(self.runs());
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Server {
    fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        self.is_down.store(false, Ordering::SeqCst);
        self.state.start();
        let server = self.clone();
        let name = format!("standin-{}", self.addr.port());
        let accept = move || server.accept(&listener);
        let thread = thread::Builder::new()
            .name(name)
            .stack_size(STACK_BYTES)
            .spawn(accept)?;
        *self.listener.lock().expect("no holder of this lock panics") = Some(thread);
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(stream) = stream {
                self.take(Arc::new(stream));
            }
        }
    }

    fn take(self: &Arc<Self>, stream: Arc<TcpStream>) {
        let Some(number) = self.state.open(&stream) else {
            return;
        };
        let server = self.clone();
        let run = move || {
            // A broken connection ends its thread and concerns nobody else.
            let _ = server.converse(stream);
            server.state.close(number);
        };
        if thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(run)
            .is_err()
        {
            self.state.close(number);
        }
    }

    fn converse(self: &Arc<Self>, stream: Arc<TcpStream>) -> io::Result<()> {
        let connect = Duration::from_secs_f64(self.state.options().connect_ms.max(0.0) / 1_000.0);
        thread::sleep(connect);
        let mut connection = Connection::new(stream)?;
        while let Some(req) = connection.read_request()? {
            let own = self.control.answer(&self.state, &req);
            let reply =
                own.map_or_else(|| work::run(&self.state, &self.agent, &req), Reply::Answer);
            match reply {
                Reply::Answer(answer) => connection.write_answer(&answer)?,
                Reply::Crash => return self.crash_by_request(),
                Reply::Gone => return Ok(()),
            }
            let is_last = req
                .header("connection")
                .is_some_and(|v| v.eq_ignore_ascii_case("close"));
            if is_last {
                return Ok(());
            }
        }
        Ok(())
    }

    fn crash_by_request(self: &Arc<Self>) -> io::Result<()> {
        if self.state.options().exit_on_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.crash();
        let Some(pause) = self.state.options().restart_ms else {
            return Ok(());
        };
        thread::sleep(Duration::from_millis(pause));
        self.restart()
    }

    fn crash(&self) {
        self.state.count(|stats| stats.crashes += 1);
        self.end();
    }

    fn end(&self) {
        if !self.is_down.swap(true, Ordering::SeqCst) {
            self.close_listener();
        }
        // After the listener, so that a caller who was cut off finds the port closed.
        self.state.end();
    }

    fn close_listener(&self) {
        // The accepting thread sees the flag at the next connection, which is this one.
        drop(TcpStream::connect(self.addr));
        let thread = self
            .listener
            .lock()
            .expect("no holder of this lock panics")
            .take();
        // The thread only accepts; where it panicked there is nothing left to end.
        let _ = thread.map(thread::JoinHandle::join);
    }

    fn restart(self: &Arc<Self>) -> io::Result<()> {
        if !self.is_down.load(Ordering::SeqCst) {
            return Ok(());
        }
        let until = Instant::now() + BIND_TIMEOUT;
        loop {
            if self.is_stopped.load(Ordering::SeqCst) {
                return Err(io::Error::other("the server was stopped for good"));
            }
            match TcpListener::bind(self.addr) {
                Ok(listener) => return self.listen(listener),
                Err(err) if Instant::now() >= until => return Err(err),
                Err(_) => thread::sleep(BIND_PAUSE),
            }
        }
    }
}
