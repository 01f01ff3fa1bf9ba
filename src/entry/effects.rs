//! Carries out what the control thread asks for.

use smol::channel::Receiver;

use crate::control;
use crate::entry;

/// Carries out effects until the control thread ends.
pub async fn run(effects: Receiver<control::Effect>, links: entry::Links) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            control::Effect::Connect { vm, addr, .. } => links.connect(vm, addr),
            control::Effect::Disconnect(vm) => links.disconnect(&vm),
        }
    }
}
