package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.Candidate
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.serving.WeightedService
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rare adapters that are asked for at once, at engines whose slots are all in use. */
class StartAdmissionTest {
    private val now = Timestamp(0) + 100.seconds

    @Test
    fun `given a queue of loads beyond the deadline at every engine, then a request is refused at once as not run`() {
        val refusal = checkNotNull(refusalOf(timeout = 3.seconds, engine(requestedLoads = 20), engine(9)))
        assertEquals(ResultCode.NOT_IN_TIME, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertTrue("9 loads before it" in refusal.detail, refusal.detail)
    }

    @Test
    fun `given a start that is late but before the deadline, then a request is kept`() {
        assertNull(refusalOf(timeout = 12.seconds, engine(requestedLoads = 9)))
    }

    @Test
    fun `given one engine with the adapter, then a request is kept`() {
        val resident = engine(requestedLoads = 20).copy(state = AdapterState.RESIDENT)
        assertNull(refusalOf(timeout = 3.seconds, engine(requestedLoads = 20), resident))
    }

    @Test
    fun `given one engine with a free slot, then a request is kept`() {
        val free = engine(requestedLoads = 0, freeSlots = 1)
        assertNull(refusalOf(timeout = 3.seconds, engine(requestedLoads = 20), free))
    }

    @Test
    fun `given an old report, then what may have been drained since then doesn't count`() {
        assertNull(refusalOf(timeout = 3.seconds, engine(requestedLoads = 9, age = 4.seconds)))
    }

    @Test
    fun `given many requests refused at once, then their callers are told different times to return`() {
        val times = (1..50).mapNotNull { number ->
            refusalOf(timeout = 3.seconds, engine(requestedLoads = 20), number = number.toLong())?.retryAfter
        }
        assertEquals(50, times.size)
        assertTrue(times.distinct().size >= 40, "$times")
        assertTrue(times.max() - times.min() >= 3.seconds, "$times")
    }

    @Test
    fun `given settings that don't name the feature, then nothing is refused by its expected start`() {
        assertNull(refusalOf(timeout = 3.seconds, engine(requestedLoads = 20), features = persistentSetOf()))
    }

    private fun refusalOf(
        timeout: Duration,
        vararg candidates: Candidate,
        number: Long = 1,
        features: PersistentSet<Feature> = persistentSetOf(Feature.PRESSURE),
    ): Refusal? {
        val settings = GatewaySettings(features = features)
        val tables = GatewayTables(GatewayIdentity("entry-1", 1), settings, startedAt = now)
        val context = SelectionContext(tables, row(number, timeout), now)
        return DeadlineAdmission().refusalOf(context, candidates.toList().toPersistentList())
    }

    private fun engine(requestedLoads: Int, freeSlots: Int = 0, age: Duration = Duration.ZERO): Candidate {
        val id = UpstreamId("engine-$requestedLoads")
        val registration = UpstreamRegistration(
            id = id,
            service = SERVICE,
            endpoint = Endpoint("10.0.0.1", 80),
            domain = FailureDomain("zone"),
            slots = 4,
            isAccepting = true,
            startedMillis = 1,
            residentModels = persistentSetOf("base"),
            resident = persistentMapOf(),
        )
        val digest = EngineDigest(id, 1, 1, freeSlots = freeSlots, requestedLoads = requestedLoads)
        val row = UpstreamRow(registration, digest = digest, digestReceivedAt = now - age)
        return Candidate(row, AdapterState.ABSENT, expectedMillis = 0.0)
    }

    private fun row(number: Long, timeout: Duration) = RequestRow(
        number = RequestNumber(number),
        call = ServingCall("id-$number", "host", "/chat/", model = "base", adapter = "a1"),
        route = route,
        service = SERVICE,
        account = null,
        priority = 0,
        tokens = 0,
        arrivedAt = now,
        deadline = now + timeout,
    )

    private companion object {
        val SERVICE = ServiceName("engines")
        val route = ServingRoute(
            name = RouteName("chat"),
            host = "host",
            prefix = "/chat/",
            kind = RequestKind.STREAM,
            isResumable = false,
            targets = persistentListOf(WeightedService(SERVICE, 1)),
            timeout = 12.seconds,
            targetLatency = 500.milliseconds,
            maxAttempts = 1,
            priority = 0,
            isPublic = false,
        )
    }
}
