//! Feed of the platform's list of VMs.

use std::time::Duration;

use smol::Timer;

use crate::control;
use crate::platform_clients;

/// Time between reads of the list. A leaving VM must get no new work after a
/// few seconds, and the list itself lags by about as much.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list indefinitely and sends it to the control thread after each change.
pub async fn follow_inventory(
    mut inventory: platform_clients::InventoryClient,
    control: control::Control,
) {
    let mut last = Vec::new();
    loop {
        match inventory.fetch_if_changed().await {
            Ok(Some(vms)) if vms != last => {
                last.clone_from(&vms);
                control.send(control::Event::Inventory(vms)).await;
            }
            Ok(_) => {}
            Err(err) => log::warn!("peer: cannot read the platform's list of VMs: {err}."),
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
