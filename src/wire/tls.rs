//! Mutual TLS between the processes of the system.

use std::fmt;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::settings;

/// Error returned when a certificate or key cannot be read or used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsError(Arc<str>);

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot use TLS certificates: {}", self.0)
    }
}

impl std::error::Error for TlsError {}

fn error(context: &str, err: &impl fmt::Display) -> TlsError {
    TlsError(format!("{context}: {err}").into())
}

/// Private key and certificate chain of this process, and the CAs that it trusts.
#[derive(Debug)]
pub struct TlsIdentity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl TlsIdentity {
    /// Reads the PEM files named in the settings; errs if one cannot be read or parsed.
    pub fn open(settings: &settings::TlsSettings) -> Result<Self, TlsError> {
        let mut roots = RootCertStore::empty();
        let cas = CertificateDer::pem_file_iter(&settings.ca_file)
            .map_err(|err| error("tls.ca_file", &err))?;
        for ca in cas {
            let ca = ca.map_err(|err| error("tls.ca_file", &err))?;
            roots.add(ca).map_err(|err| error("tls.ca_file", &err))?;
        }
        let chain = CertificateDer::pem_file_iter(&settings.cert_file)
            .and_then(Iterator::collect)
            .map_err(|err| error("tls.cert_file", &err))?;
        let key = PrivateKeyDer::from_pem_file(&settings.key_file)
            .map_err(|err| error("tls.key_file", &err))?;
        Ok(Self {
            roots: Arc::new(roots),
            chain,
            key,
        })
    }

    /// Returns the configuration for incoming connections; peers must present a
    /// certificate issued by a trusted CA.
    pub fn server(&self) -> Result<quinn::ServerConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.roots),
            Arc::clone(&provider),
        )
        .build()
        .map_err(|err| error("client verifier", &err))?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| error("protocol version", &err))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|err| error("server certificate", &err))?;
        let quic = QuicServerConfig::try_from(tls).map_err(|err| error("server", &err))?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(quic)))
    }

    /// Returns the configuration for outgoing connections, with this process's
    /// certificate for client authentication.
    pub fn client(&self) -> Result<quinn::ClientConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| error("protocol version", &err))?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|err| error("client certificate", &err))?;
        let quic = QuicClientConfig::try_from(tls).map_err(|err| error("client", &err))?;
        Ok(quinn::ClientConfig::new(Arc::new(quic)))
    }
}
