package org.ragwortbank.core.gateway

import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Applies settings that were reloaded while the process runs. */
class SettingsSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val reloaded = tick.inputs.filterIsInstance<GatewayInput.SettingsReloaded>().lastOrNull() ?: return step
        return step.update { it.copy(settings = reloaded.settings) }
    }
}
