package org.ragwortbank.core.storecopy

import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Blocks, evacuations, versions and configurations as an older copy of the store has them. */
class StoreCopyBlocksTest {
    private val gateway = GatewayFixture()
    private val trait = CrashTrait.PromptPart(PromptPartId("bad"))
    private val blocked = StoreChange.BlockSet(trait)

    init {
        readEra(1)
    }

    // Guards against a block that is taken as lifted by operators, because the copy is older than it.
    @Test
    fun `given a stored block that the copy lacks, then it holds and is saved again`() {
        gateway.applyChanges(blocked)
        gateway.advance(6.seconds)
        readEra(2)
        assertTrue(trait in gateway.tables.blocks)
        assertTrue(GatewayEffect.SaveBlock(trait) in gateway.effects)
        gateway.applyChanges(blocked)
        gateway.advance(3.seconds)
        assertFalse(GatewayEffect.SaveBlock(trait) in gateway.effects)
    }

    @Test
    fun `given a stored block that the copy has, then it is not saved again`() {
        gateway.applyChanges(blocked)
        gateway.advance(6.seconds)
        readEra(2, blocked)
        gateway.advance(3.seconds)
        assertFalse(gateway.effects.any { it is GatewayEffect.SaveBlock })
        readEra(2)
        assertFalse(trait in gateway.tables.blocks)
    }

    // Guards against a block that operators have lifted and that the copy brings back.
    @Test
    fun `given a block that was lifted shortly before, when the copy has it, then it stays lifted and is dropped`() {
        gateway.applyChanges(blocked)
        gateway.applyChanges(StoreChange.BlockLifted(trait))
        gateway.advance(9.seconds)
        readEra(2, blocked)
        assertFalse(trait in gateway.tables.blocks)
        assertTrue(GatewayEffect.DropBlock(trait) in gateway.effects)
    }

    @Test
    fun `given a block that a whole read no longer had, when a copy has it, then it stays lifted`() {
        gateway.applyChanges(blocked)
        readEra(1)
        readEra(2, blocked)
        assertFalse(trait in gateway.tables.blocks)
    }

    @Test
    fun `given a block that was lifted longer ago or was found again, when the copy has it, then it holds`() {
        gateway.applyChanges(blocked)
        gateway.applyChanges(StoreChange.BlockLifted(trait))
        gateway.advance(11.seconds)
        readEra(2, blocked)
        assertTrue(trait in gateway.tables.blocks)
        gateway.applyChanges(StoreChange.BlockLifted(trait))
        gateway.applyChanges(blocked)
        readEra(3, blocked)
        assertTrue(trait in gateway.tables.blocks)
    }

    @Test
    fun `given a block that was lifted and is written again in the same era, then it holds`() {
        gateway.applyChanges(blocked)
        gateway.applyChanges(StoreChange.BlockLifted(trait))
        gateway.applyChanges(blocked)
        assertTrue(trait in gateway.tables.blocks)
    }

    @Test
    fun `given evacuations that the copy has or lacks, then what it says holds`() {
        val domain = FailureDomain("zone")
        readEra(2, StoreChange.DomainEvacuated(domain))
        assertTrue(domain in gateway.tables.evacuations)
        readEra(3)
        assertFalse(domain in gateway.tables.evacuations)
    }

    @Test
    fun `given older versions and an older configuration in the copy, then the newer ones stay`() {
        val adapter = AdapterKey(GatewayFixture.MODEL, "a1")
        val config = StoreChange.ConfigSet(gateway.config(version = 9))
        gateway.applyChanges(StoreChange.NewestVersionSet(adapter, 4), config)
        readEra(2, StoreChange.NewestVersionSet(adapter, 3))
        assertEquals(4, gateway.tables.versions.getValue(adapter).version)
        assertEquals(9, gateway.tables.config?.version)
        assertFalse(gateway.tables.isConfigNewest)
        gateway.applyChanges(config)
        assertTrue(gateway.tables.isConfigNewest)
    }

    private fun readEra(era: Long, vararg further: StoreChange) {
        val contents = further.fold(gateway.storeContents()) { list, change -> list.add(change) }
        gateway.tick(GatewayInput.StoreRead(contents, gateway.now, StorePosition(era, revision = 50)))
    }
}
