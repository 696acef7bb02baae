package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PaceSystemTest {
    private val gateway = GatewayFixture()
    private val desk1 = UpstreamId("desk-1")
    private val desk2 = UpstreamId("desk-2")

    private fun paceOf(id: UpstreamId) = gateway.tables.upstreams[id]?.pace

    private fun turnOn() = gateway.tick(
        GatewayInput.SettingsReloaded(GatewaySettings(features = persistentSetOf(Feature.PACE))),
    )

    private fun restart(id: UpstreamId, startedMillis: Long) = gateway.applyChanges(
        StoreChange.UpstreamRegistered(
            gateway.registration(id.value, GatewayFixture.DESK, startedMillis = startedMillis),
        ),
    )

    private fun lines() = gateway.effects.filterIsInstance<GatewayEffect.Log>().map { it.line.message }

    @Test
    fun `given the feature off, then upstreams have no pace and all requests are sent at once`() {
        restart(desk1, startedMillis = 2)
        val sent = (1..20).sumOf { gateway.receiveCall("/book/x").let { gateway.sentAttempts().size } }
        assertEquals(20, sent)
        assertNull(paceOf(desk1))
    }

    @Test
    fun `given an upstream that has just started, then it gets a little at first and that is logged`() {
        gateway.advance(4.seconds)
        gateway.confirmConfiguration()
        turnOn()
        gateway.applyChanges(StoreChange.UpstreamRemoved(desk2))
        restart(desk1, startedMillis = 200)
        assertTrue(lines().any { "desk-1 is at pace ramping up" in it }, "${lines()}")
        val sent = (1..5).flatMap { gateway.receiveCall("/book/x").let { gateway.sentAttempts() } }
        assertEquals(1, sent.size)
        gateway.advance(50.milliseconds)
        val facts = AnswerFacts(status = 200, notRun = false, load = ReportedLoad(1, 0))
        gateway.tick(GatewayInput.AnswerHeadReceived(sent.single().number, sent.single().attemptNumber, facts))
        assertTrue(gateway.sentAttempts().isNotEmpty())
    }

    @Test
    fun `given a gateway that has just started, then upstreams that ran before have their full pace`() {
        restart(desk1, startedMillis = -60_000)
        turnOn()
        assertEquals(PacePhase.FULL, paceOf(desk1)?.phase)
        assertEquals(emptyList(), lines().filter { "desk-1 is at pace" in it })
    }

    @Test
    fun `given upstreams that are used again after a time without requests, then their pace begins anew`() {
        turnOn()
        gateway.advance(30.seconds)
        restart(desk2, startedMillis = -60_000)
        assertEquals(PacePhase.FULL, paceOf(desk2)?.phase)
        val step = Step<GatewayTables, GatewayEffect>(gateway.tables)
            .restartPace(listOf(desk2), "its failure domain is used again", gateway.now)
        assertEquals(PacePhase.RAMPING to 1.0, step.tables.upstreams.getValue(desk2).pace?.let { it.phase to it.limit })
        assertEquals(1, step.effects.size)
    }
}
