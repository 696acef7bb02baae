package org.ragwortbank.core.routing

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class RendezvousSelectorTest {
    private val selector = RendezvousSelector()
    private val adapter = AdapterRef("advice", "3")

    private fun upstream(name: String, load: Int = 0, hasAdapter: Boolean = false): Upstream {
        val instance = Instance(InstanceName(name), InstanceRole.SIDECAR, "", "", FailureDomain("a"))
        val resident = if (hasAdapter) persistentSetOf(adapter) else persistentSetOf()
        val digest = SidecarReport.Digest(resident, queuedCount = 0, runningCount = load, isAccepting = true)
        return Upstream(instance, RendezvousHash.hashOf(name), isConnected = true, digest = digest)
    }

    private fun selectedName(candidates: List<Upstream>): String =
        selector.select(adapter, candidates).upstream.instance.name.value

    @Test
    fun `given idle upstreams, then an adapter always gets the same upstream`() {
        val names = (1..8).map { "engine-$it" }
        assertEquals(selectedName(names.map { upstream(it) }), selectedName(names.reversed().map { upstream(it) }))
    }

    @Test
    fun `given one upstream fewer, then only its adapters move`() {
        val all = (1..8).map { upstream("engine-$it") }
        val adapters = (1..200).map { AdapterRef("adapter-$it", "1") }
        val before = adapters.associateWith { selector.select(it, all).upstream }
        val after = adapters.associateWith { selector.select(it, all.drop(1)).upstream }
        assertTrue(adapters.all { before[it] == all.first() || before[it] == after[it] })
    }

    @Test
    fun `given an upstream with the adapter resident, then it is preferred to the one with the highest score`() {
        val preferred = selectedName((1..8).map { upstream("engine-$it") })
        val other = (1..8).map { "engine-$it" }.first { it != preferred }
        assertEquals(other, selectedName((1..8).map { upstream("engine-$it", hasAdapter = "engine-$it" == other) }))
    }

    @Test
    fun `given an overloaded upstream, then another one is selected`() {
        val preferred = selectedName((1..8).map { upstream("engine-$it") })
        val loaded = (1..8).map { upstream("engine-$it", load = if ("engine-$it" == preferred) 40 else 0) }
        assertNotEquals(preferred, selectedName(loaded))
    }
}
