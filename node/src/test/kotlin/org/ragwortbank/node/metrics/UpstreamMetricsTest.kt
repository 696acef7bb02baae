package org.ragwortbank.node.metrics

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.pacing.PacePhase
import org.ragwortbank.core.pacing.PaceRow
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class UpstreamMetricsTest {
    private val metrics = NodeMetrics()
    private val now = Timestamp(0)

    private fun row(id: String, phase: PacePhase): UpstreamRow {
        val registration = UpstreamRegistration(
            id = UpstreamId(id),
            service = ServiceName("engines"),
            endpoint = Endpoint("10.0.0.1", 80),
            domain = FailureDomain("zone"),
            slots = 4,
            isAccepting = true,
            startedMillis = 1,
            residentModels = persistentSetOf(),
            resident = persistentMapOf(),
        )
        val pace = PaceRow(phase, limit = 2.5, offset = 0.0, changedAt = now)
        return UpstreamRow(registration, inFlight = 2, pace = pace)
    }

    private fun linesWith(rows: List<UpstreamRow>): List<String> {
        val upstreams = rows.associateBy { it.registration.id }.toPersistentMap()
        metrics.upstreams.update(GatewayTables(GatewayIdentity("edge-1", 1), startedAt = now, upstreams = upstreams))
        return metrics.toPrometheusText().lines().filter { "upstream_pace" in it && !it.startsWith("#") }
    }

    @Test
    fun `given upstreams with and without a limit, then those with one show limit and use until it is lifted`() {
        val lines = linesWith(listOf(row("i-1", PacePhase.RAMPING), row("i-2", PacePhase.FULL)))
        assertEquals(2, lines.size, "$lines")
        assertContains(lines, "ragwortbank_upstream_pace_limit{upstream=\"i-1\"} 2.5")
        assertContains(lines, "ragwortbank_upstream_pace_under_way{upstream=\"i-1\"} 2.0")
        assertEquals(emptyList(), linesWith(listOf(row("i-1", PacePhase.FULL))))
    }

    @Test
    fun `given very many upstreams with a limit, then the number of labels is bounded`() {
        assertEquals(2 * 64, linesWith((1..500).map { row("i-$it", PacePhase.PROBING) }).size)
    }
}
