//! Settings of the processes on one machine.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

use crate::fleet;
use crate::ids;
use crate::services;
use crate::settings;
use crate::standin;
use crate::units;

/// Time for accepted requests on a planned stop.
const DRAIN: units::Millis = units::Millis(5_000);

/// What the processes of one run share.
pub struct Site<'a> {
    /// Folder for certificates and keys.
    pub dir: &'a Path,
    /// The authority of their certificates.
    pub authority: &'a standin::Authority,
    /// The platform's services.
    pub platform: settings::PlatformSettings,
}

/// A process that is about to be started; holds its UDP port until then.
#[derive(Debug)]
pub struct NodePlan {
    /// Settings of the process.
    pub settings: settings::Settings,
    reserved: UdpSocket,
}

impl Site<'_> {
    /// Plans a process in a failure domain.
    pub fn plan(
        &self,
        vm: ids::VmName,
        domain: ids::DomainName,
        region: ids::RegionName,
        role: settings::Role,
    ) -> io::Result<NodePlan> {
        let tls = self
            .authority
            .issue(&vm, self.dir)
            .map_err(io::Error::other)?;
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let reserved = UdpSocket::bind(loopback)?;
        let settings = settings::Settings {
            vm,
            domain,
            region,
            peer_addr: reserved.local_addr()?,
            operations_addr: loopback,
            platform: self.platform.clone(),
            tls,
            role,
            traffic_threads: 1,
            drain_timeout_ms: DRAIN,
        };
        Ok(NodePlan { settings, reserved })
    }

    /// Settings of an entry with this operators' token.
    pub fn entry(
        &self,
        callers_addr: SocketAddr,
        operator_token: &str,
    ) -> io::Result<settings::Role> {
        let session_key_file = self.dir.join("session.key");
        if !session_key_file.exists() {
            let key = [uuid::Uuid::new_v4(), uuid::Uuid::new_v4()];
            fs::write(&session_key_file, key.map(|part| part.to_string()).concat())?;
        }
        Ok(settings::Role::Entry(settings::EntrySettings {
            callers_addr,
            operator_token_sha256: ids::Digest::of(operator_token.as_bytes()),
            session_key_file,
            limits: settings::Limits::default(),
            usage_flush_ms: units::Millis(1_000),
            evidence_flush_ms: units::Millis(2_000),
            parallel_loads: 2,
        }))
    }
}

/// Settings of a sidecar.
#[must_use]
pub fn sidecar(
    endpoint_addr: SocketAddr,
    endpoint: settings::EndpointSettings,
    max_concurrent: u32,
) -> settings::Role {
    settings::Role::Sidecar(settings::SidecarSettings {
        endpoint_addr,
        endpoint,
        cold_limit: 2.min(max_concurrent),
        max_concurrent,
        queue: 4 * max_concurrent,
        ramp_interval_ms: units::Millis(500),
        ramp_answers: 2,
    })
}

impl NodePlan {
    /// The process as the platform lists it.
    #[must_use]
    pub fn listed(&self) -> services::Vm {
        services::Vm {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            role: match self.settings.role {
                settings::Role::Entry(_) => fleet::NodeRole::Entry,
                settings::Role::Sidecar(_) => fleet::NodeRole::Sidecar,
            },
            peer_addr: self.settings.peer_addr,
            state: services::VmState::Live,
        }
    }

    /// Gives the port free and returns the settings.
    #[must_use]
    pub fn release(self) -> settings::Settings {
        drop(self.reserved);
        self.settings
    }
}
