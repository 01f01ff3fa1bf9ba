//! Settings of processes that run on one machine, on loopback ports.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

use crate::fleet;
use crate::ids;
use crate::platform_clients;
use crate::settings;
use crate::standin;
use crate::units;

/// Maximum time for accepted requests to complete on a planned stop.
const DRAIN_TIMEOUT: units::Millis = units::Millis(5_000);

/// Settings that all processes of one deployment share.
pub struct Deployment<'a> {
    /// Folder to which certificates and keys are written.
    pub dir: &'a Path,
    /// The authority that issues the processes' certificates.
    pub authority: &'a standin::Authority,
    /// Addresses of the platform's services.
    pub platform: settings::PlatformSettings,
}

/// A process to be started; its UDP port stays reserved until [`into_settings`](Self::into_settings).
#[derive(Debug)]
pub struct ProcessPlan {
    /// Settings for the process, complete with addresses and certificates.
    pub settings: settings::Settings,
    reserved: UdpSocket,
}

impl Deployment<'_> {
    /// Reserves a UDP port and issues a certificate for a process; fails if
    /// either is not possible.
    pub fn plan(
        &self,
        vm: ids::VmName,
        domain: ids::DomainName,
        region: ids::RegionName,
        role: settings::Role,
    ) -> io::Result<ProcessPlan> {
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
            drain_timeout_ms: DRAIN_TIMEOUT,
        };
        Ok(ProcessPlan { settings, reserved })
    }

    /// Returns settings of an entry that accepts `operator_token`; creates the
    /// session key shared by all entries if there is none yet.
    pub fn entry(
        &self,
        callers_addr: SocketAddr,
        operator_token: &str,
    ) -> io::Result<settings::Role> {
        let session_key_file = self.dir.join("session.key");
        if !session_key_file.exists() {
            let key = [uuid::Uuid::new_v4(), uuid::Uuid::new_v4()];
            fs::write(&session_key_file, key.map(|uuid| uuid.to_string()).concat())?;
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

/// Returns settings of a sidecar; its queue holds four times `max_concurrent`.
#[must_use]
pub fn sidecar_role(
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

impl ProcessPlan {
    /// Returns the process's row in the platform's list of VMs.
    #[must_use]
    pub fn inventory_row(&self) -> platform_clients::Vm {
        platform_clients::Vm {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            role: match self.settings.role {
                settings::Role::Entry(_) => fleet::NodeRole::Entry,
                settings::Role::Sidecar(_) => fleet::NodeRole::Sidecar,
            },
            peer_addr: self.settings.peer_addr,
            state: platform_clients::VmState::Live,
        }
    }

    /// Frees the reserved port and returns the settings, just before the start.
    #[must_use]
    pub fn into_settings(self) -> settings::Settings {
        drop(self.reserved);
        self.settings
    }
}
