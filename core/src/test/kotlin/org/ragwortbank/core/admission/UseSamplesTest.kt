package org.ragwortbank.core.admission

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.serving.Feature
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** The use of each account in the window is recorded only where something is decided by it. */
class UseSamplesTest {
    private val gateway = GatewayFixture()

    // Guards against memory and time for each account that a deployment didn't ask for.
    @Test
    fun `given settings that don't name the feature, then the use of accounts isn't recorded`() {
        gateway.advance(2.seconds)
        assertTrue(gateway.tables.buckets.isNotEmpty())
        assertEquals(0, gateway.tables.buckets.values.sumOf { it.use.samples.size })
    }

    @Test
    fun `given settings that name the feature, then the use of each account is recorded`() {
        gateway.tick(GatewayInput.SettingsReloaded(GatewaySettings(features = persistentSetOf(Feature.PRESSURE))))
        gateway.advance(2.seconds)
        assertTrue(gateway.tables.buckets.values.all { it.use.samples.isNotEmpty() })
    }
}
