//! A certificate authority for tests and the demo.

use std::fmt;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::ids;
use crate::settings;
use crate::wire;

/// Error from generating a certificate or writing it to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertError(Arc<str>);

impl fmt::Display for CertError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot issue certificate: {}", self.0)
    }
}

impl std::error::Error for CertError {}

impl From<rcgen::Error> for CertError {
    fn from(err: rcgen::Error) -> Self {
        Self(err.to_string().into())
    }
}

impl From<std::io::Error> for CertError {
    fn from(err: std::io::Error) -> Self {
        Self(err.to_string().into())
    }
}

/// A certificate authority whose private key is kept in memory only.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    ca_pem: String,
}

impl Authority {
    /// Generates a self-signed authority with a new key.
    pub fn generate() -> Result<Self, CertError> {
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate()?;
        let ca_pem = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            ca_pem,
        })
    }

    /// Issues a certificate for `vm`, valid as server and client, and writes it
    /// with its key and the authority's certificate into `dir`.
    pub fn issue(&self, vm: &ids::VmName, dir: &Path) -> Result<settings::TlsSettings, CertError> {
        let mut params = CertificateParams::new(vec![wire::server_name(vm)])?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        let cert = params.signed_by(&key, &self.issuer)?;
        let files = settings::TlsSettings {
            ca_file: dir.join("ca.pem"),
            cert_file: dir.join(format!("{vm}.pem")),
            key_file: dir.join(format!("{vm}.key")),
        };
        // An unchanged CA file is not rewritten, since a process that has just
        // been started may be reading it.
        if fs::read_to_string(&files.ca_file).ok().as_deref() != Some(self.ca_pem.as_str()) {
            fs::write(&files.ca_file, &self.ca_pem)?;
        }
        fs::write(&files.cert_file, cert.pem())?;
        fs::write(&files.key_file, key.serialize_pem())?;
        Ok(files)
    }
}
