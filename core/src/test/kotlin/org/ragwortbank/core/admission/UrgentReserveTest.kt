package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.pacing.SendLimit
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.serving.WeightedService
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A burst of less urgent requests that would fill every slot just before one of the most urgent begins. */
class UrgentReserveTest {
    private val now = Timestamp(0) + 100.seconds

    @Test
    fun `given a burst of less urgent requests, then it leaves one slot in twelve to the most urgent`() {
        assertEquals(1, roomFor(rank = 2, running = 43))
        assertEquals(0, roomFor(rank = 2, running = 44))
        assertEquals(SendLimit.UNBOUNDED, roomFor(rank = 0, running = 48))
    }

    @Test
    fun `given a less urgent request that has waited for long, then it may take any slot`() {
        assertEquals(SendLimit.UNBOUNDED, roomFor(rank = 2, running = 47, waited = 1.seconds))
    }

    @Test
    fun `given routes of one rank, then nothing is reserved`() {
        assertEquals(SendLimit.UNBOUNDED, roomFor(rank = 2, running = 47, ranks = listOf(2, 2)))
    }

    @Test
    fun `given settings that don't name the feature, then nothing is reserved`() {
        assertEquals(SendLimit.UNBOUNDED, roomFor(rank = 2, running = 47, features = persistentSetOf()))
    }

    private fun roomFor(
        rank: Int,
        running: Int,
        waited: Duration = Duration.ZERO,
        ranks: List<Int> = listOf(0, 2),
        features: PersistentSet<Feature> = persistentSetOf(Feature.PRESSURE),
    ): Int {
        val routes = ranks.mapIndexed { index, priority -> route("r$index", priority) }
        val config = ServingConfig(routes = persistentMapOf("host" to routes.toPersistentList()))
        val settings = GatewaySettings(features = features)
        val tables = GatewayTables(GatewayIdentity("entry-1", 1), settings, startedAt = now, config = config)
        val context = SelectionContext(tables, row(rank, waited), now)
        val upstream = UpstreamRow(registration, reportedLoad = ReportedLoad(running, waiting = 0))
        return UrgentReserve().roomFor(context, upstream)
    }

    private fun row(rank: Int, waited: Duration) = RequestRow(
        number = RequestNumber(1),
        call = ServingCall("id", "host", "/r0/"),
        route = route("r0", rank),
        service = SERVICE,
        account = null,
        priority = rank,
        tokens = 0,
        arrivedAt = now - waited,
        deadline = now + 12.seconds,
    )

    private fun route(name: String, priority: Int) = ServingRoute(
        name = RouteName(name),
        host = "host",
        prefix = "/$name/",
        kind = RequestKind.STREAM,
        isResumable = false,
        targets = persistentListOf(WeightedService(SERVICE, 1)),
        timeout = 12.seconds,
        targetLatency = 500.milliseconds,
        maxAttempts = 1,
        priority = priority,
        isPublic = false,
    )

    private companion object {
        val SERVICE = ServiceName("engines")
        val registration = UpstreamRegistration(
            id = UpstreamId("engine-1"),
            service = SERVICE,
            endpoint = Endpoint("10.0.0.1", 80),
            domain = FailureDomain("zone"),
            slots = 48,
            isAccepting = true,
            startedMillis = 1,
            residentModels = persistentSetOf("base"),
            resident = persistentMapOf(),
        )
    }
}
