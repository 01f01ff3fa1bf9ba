//! Definition of the command line; its doc comments are the help texts.

use std::path::PathBuf;

// The macro accepts types only as a single name, without a path.
use crate::catalog::ObjectKind;
use crate::cli::target::{DrainTarget, WatchTarget};
use crate::ids::{ProfileName, RequestId, Revision, VersionName, VmName};

xflags::xflags! {
    /// Operators' tool of quetzalworks.
    ///
    /// Exit codes: 0 ok, 1 failed, 2 usage or settings, 3 conflict, 4 not accepted, 5 outcome unknown.
    cmd quetzalworks {
        /// Address of an entry, host:port. Default: $QUETZALWORKS_SERVER, else 127.0.0.1:8080.
        optional --server addr: String
        /// File with the operators' token. Default: the token in $QUETZALWORKS_TOKEN.
        optional --token-file path: PathBuf
        /// Name that is recorded with changes. Default: $USER.
        optional --author name: String
        /// Print JSON instead of tables.
        optional --json

        /// Show all objects of a kind, or one: profiles, versions, services, teams, domains, vms, rollouts.
        cmd get {
            /// Kind of object.
            required kind: ObjectKind
            /// Name of the object.
            optional name: ProfileName
        }
        /// Create or replace an object.
        cmd put {
            /// Kind of object.
            required kind: ObjectKind
            /// Name of the object.
            required name: ProfileName
            /// File with the object as JSON.
            required --file path: PathBuf
            /// Revision on which the change is based. Default: the present one.
            optional --base revision: Revision
            /// Check and show the change, but do not make it.
            optional --dry-run
        }
        /// Delete an object.
        cmd delete {
            /// Kind of object.
            required kind: ObjectKind
            /// Name of the object.
            required name: ProfileName
            /// Revision on which the change is based. Default: the present one.
            optional --base revision: Revision
            /// Check and show the change, but do not make it.
            optional --dry-run
        }
        /// Take a failure domain or a VM out: it receives no new work.
        cmd out {
            /// domain or vm.
            required place: DrainTarget
            /// Name of the failure domain or VM.
            required name: ProfileName
        }
        /// Bring a failure domain or a VM back.
        cmd back {
            /// domain or vm.
            required place: DrainTarget
            /// Name of the failure domain or VM.
            required name: ProfileName
        }
        /// Withdraw a version: it receives no new work.
        cmd withdraw {
            /// Name of the version.
            required version: VersionName
        }
        /// Publish a version, or publish a withdrawn one again.
        cmd publish {
            /// Name of the version.
            required version: VersionName
            /// File with the version as JSON. Default: the present content.
            optional --file path: PathBuf
        }
        /// Roll a version out to a profile.
        cmd rollout {
            /// Start a roll-out, then list the version in the profile.
            cmd start {
                /// Name of the roll-out.
                required name: ProfileName
                /// The profile that the version enters.
                required --profile name: ProfileName
                /// The entering version.
                required --version name: VersionName
            }
            /// Hold a roll-out at its present step.
            cmd pause {
                /// Name of the roll-out.
                required name: ProfileName
            }
            /// Let a paused roll-out go on.
            cmd resume {
                /// Name of the roll-out.
                required name: ProfileName
            }
            /// Remove the version from the profile, then delete the roll-out.
            cmd stop {
                /// Name of the roll-out.
                required name: ProfileName
            }
        }
        /// Show processes, endpoints, load and the configuration in force.
        cmd status {}
        /// Show why a request was answered as it was.
        cmd explain {
            /// Id from the header x-quetzalworks-request-id.
            required id: RequestId
        }
        /// Show what logs say of a request: its decisions, and what changed around it.
        cmd explain-log {
            /// Id of the caller's attempt, as in the logs.
            required id: String
            /// Files with JSON log lines; standard input if there are none.
            repeated files: PathBuf
        }
        /// Watch until a roll-out is complete, or a failure domain is drained or back in full service.
        cmd watch {
            /// rollout or domain.
            required what: WatchTarget
            /// Name of the roll-out or failure domain.
            required name: ProfileName
        }
        /// Check a settings file of the daemon.
        cmd check {
            /// The settings file.
            required path: PathBuf
        }
        /// Make certificates for development; the authority's key is not kept.
        cmd certs {
            /// Folder for the files.
            required --dir path: PathBuf
            /// Names of the VMs.
            repeated vms: VmName
        }
    }
}
