//! Starts a platform and a target, waits a second for the target to register, and stops both.

use std::io::Write;
use std::time::Duration;

use magnoliapin_model::InstanceId;
use magnoliapin_model::RackId;
use magnoliapin_model::ZoneId;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::TargetOptions;
use magnoliapin_standin::TargetStandin;
use smol::Timer;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    smol::block_on(async {
        let platform = PlatformStandin::start(PlatformOptions::default()).await?;
        let instance = InstanceId::new("instance-1")?;
        let zone = ZoneId::new("zone-1")?;
        let rack = RackId::new("rack-1")?;
        let options = TargetOptions::new(instance, zone, rack, platform.address());
        let target = TargetStandin::start(options).await?;
        let mut output = std::io::stdout();
        writeln!(output, "platform on {}, target on {}", platform.address(), target.address())?;
        Timer::after(Duration::from_secs(1)).await;
        let listed = platform
            .state()
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .instances
            .current();
        writeln!(output, "{} instance listed", listed.len())?;
        target.stop().await;
        platform.stop().await;
        Ok(())
    })
}
