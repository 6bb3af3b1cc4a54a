//! A resolver for `ureq` that takes addresses which are IP numbers already.
//!
//! The default resolver of `ureq` starts a thread for each request that has a time limit, also
//! where the connection is kept and the host is an IP number.

use std::net::{IpAddr, SocketAddr};

use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// Takes the host of a URI as an IP number and looks nothing up.
#[derive(Debug, Clone, Copy, Default)]
pub struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let host = uri.host().unwrap_or_default().trim_matches(['[', ']']);
        let ip: IpAddr = host.parse().map_err(|_| Error::HostNotFound)?;
        let port = uri.port_u16().ok_or(Error::HostNotFound)?;
        let mut addrs = self.empty();
        addrs.push(SocketAddr::new(ip, port));
        Ok(addrs)
    }
}
