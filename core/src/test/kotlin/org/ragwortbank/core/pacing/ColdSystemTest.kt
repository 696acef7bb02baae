package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.StoreSystem
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdSystemTest {
    private val schedule = Schedule(persistentListOf(StoreSystem(), ColdSystem()))
    private val start = ColdStart(3.seconds, ColdFleet.PER_SECOND)
    private var now = ColdFleet.ORIGIN
    private var lines = emptyList<String>()
    private var tables = tables(isFirstStart = false)

    private val cold: ColdRow? get() = tables.upstreams[ColdFleet.ENGINE]?.cold

    private fun tables(isFirstStart: Boolean) =
        GatewayTables(GatewayIdentity("edge-1", 1, isFirstStart), GatewaySettings(), startedAt = now - 1.seconds)

    private fun read(coldRemaining: Duration?, startedMillis: Long = 1, bound: ColdStart? = start) {
        val services = ColdFleet.config.services.mapValues { it.value.copy(cold = bound) }
        val config = ColdFleet.config.copy(services = ColdFleet.config.services.putAll(services))
        val engine = ColdFleet.engine(Duration.ZERO, coldRemaining, startedMillis)
        val contents = persistentListOf(StoreChange.ConfigSet(config), StoreChange.UpstreamRegistered(engine))
        val step = schedule.run(Tick(now, persistentListOf(GatewayInput.StoreRead(contents, now))), tables)
        tables = step.tables
        lines = lines + step.effects.filterIsInstance<GatewayEffect.Log>().map { it.line.message }
    }

    private fun coldFor(): Duration = cold?.let { it.coldUntil(start) - now } ?: Duration.ZERO

    @Test
    fun `given a failure domain that was emptied and is in use again, then its upstreams count as cold from then on`() {
        read(Duration.ZERO)
        val domain = checkNotNull(tables.upstreams[ColdFleet.ENGINE]).registration.domain
        change(StoreChange.DomainEvacuated(domain))
        assertEquals(Duration.ZERO, coldFor())
        now += 5.seconds
        change(StoreChange.EvacuationLifted(domain))
        assertEquals(start.duration, coldFor())
    }

    private fun change(change: StoreChange) {
        val input = GatewayInput.StoreChanged(persistentListOf(change), now)
        tables = schedule.run(Tick(now, persistentListOf(input)), tables).tables
    }

    @Test
    fun `given a remaining time, then it counts from its receipt and the same figure doesn't count again`() {
        read(2_400.milliseconds)
        assertEquals(2_400.milliseconds, coldFor())
        now += 1.seconds
        read(2_400.milliseconds)
        assertEquals(1_400.milliseconds, coldFor())
        read(1_900.milliseconds)
        assertEquals(1_900.milliseconds, coldFor())
        read(Duration.ZERO)
        assertEquals(Duration.ZERO, coldFor())
    }

    @Test
    fun `given a new incarnation that doesn't say, then it counts as cold from when that is learned`() {
        read(Duration.ZERO)
        read(coldRemaining = null, startedMillis = 2)
        assertEquals(3.seconds, coldFor())
        now += 1.seconds
        read(coldRemaining = null, startedMillis = 2)
        assertEquals(2.seconds, coldFor())
    }

    @Test
    fun `given the first start of the system, then only what registers that it is cold is cold`() {
        tables = tables(isFirstStart = true)
        read(coldRemaining = null)
        assertEquals(Duration.ZERO, coldFor())
        read(900.milliseconds)
        assertEquals(900.milliseconds, coldFor())
    }

    @Test
    fun `given a figure that can't be right, then it is bounded and logged once`() {
        val cases = listOf(-1.seconds to 3.seconds, 500.seconds to 12.seconds, Duration.INFINITE to 12.seconds)
        cases.forEach { (odd, bounded) ->
            tables = tables(isFirstStart = false)
            lines = emptyList()
            read(odd)
            assertEquals(bounded, coldFor())
            read(odd + 1.seconds)
            assertEquals(1, lines.count { "can't be right" in it }, lines.toString())
        }
    }

    @Test
    fun `given a second failure without an answer between, then the upstream may come back cold`() {
        read(Duration.ZERO)
        val observer = ColdObserver()
        val sent = ColdFleet.request.copy(stage = RequestStage.Sent(ColdFleet.ENGINE, now))
        val row = tables.upstreams.getValue(ColdFleet.ENGINE)
        val once = observer.onOutcome(row.copy(health = row.health.copy(failures = 1)), sent, AttemptOutcome.Lost, now)
        assertEquals(now, once.cold?.coldUntil(start))
        val twice = observer.onOutcome(row.copy(health = row.health.copy(failures = 2)), sent, AttemptOutcome.Lost, now)
        assertEquals(now + 3.seconds, twice.cold?.coldUntil(start))
    }

    @Test
    fun `given an answer 421, then the turn is given back and any other answer keeps it`() {
        read(2.seconds)
        val observer = ColdObserver()
        val sent = ColdFleet.request.copy(stage = RequestStage.Sent(ColdFleet.ENGINE, now))
        val row = observer.onSent(tables.upstreams.getValue(ColdFleet.ENGINE), sent, now)
        assertNull(observer.onOutcome(row, sent, AttemptOutcome.Rejected(421), now).cold?.sentAt)
        assertEquals(now, observer.onOutcome(row, sent, AttemptOutcome.Rejected(503), now).cold?.sentAt)
    }

    @Test
    fun `given a service without a bound, then nothing is kept or limited`() {
        read(2.seconds, bound = null)
        assertNull(cold)
        val context = SelectionContext(tables, ColdFleet.request, now)
        val room = ColdLimit().roomFor(context, tables.upstreams.getValue(ColdFleet.ENGINE))
        assertEquals(SendLimit.UNBOUNDED, room)
        assertEquals(emptyList(), lines.filter { "cold" in it })
    }
}
