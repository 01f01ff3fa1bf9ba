//! Tests of the control invariants with real processes connected by faulty links.

mod i12_in_force;
mod i12_races;
mod i12_retention;
mod i1_allowed;
mod i2_withdrawn;
mod i3_session;
mod i6_domain_out;
mod kit;
mod lease;
mod leaving;
mod regions;
mod rollout_bound;
mod rollout_platform;
