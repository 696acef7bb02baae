package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.StoreSystem
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.selection.upstreamPolicy
import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServiceSpec
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is wrong with a gateway from [from] to [until]. */
internal data class ColdFault(val gateways: IntRange, val kind: Kind, val from: Duration, val until: Duration) {
    enum class Kind { DEAD, CUT, FROZEN }
}

/**
 * Gateways with requests waiting at all times for one upstream that is cold all the while, and a store that lists them
 * under leases. All gateways that can send do so in the same millisecond.
 */
internal class ColdFleet(private val gateways: Int, private val faults: List<ColdFault> = emptyList()) {
    private val schedule = Schedule(persistentListOf(StoreSystem(), ColdSystem()))
    private val policy = upstreamPolicy {
        limit(ColdLimit())
        observe(ColdObserver())
    }
    private var elapsed = Duration.ZERO
    private var tables = (0 until gateways).map { startedTables(it, -10.seconds) }
    private var renewedAt = (0 until gateways).associateWith { Duration.ZERO }

    /** When requests were sent. */
    var sends = emptyList<Duration>()
        private set

    fun run(time: Duration): ColdFleet {
        while (elapsed < time) {
            tables = tables.mapIndexed { number, known -> step(number, known) }
            elapsed += STEP
        }
        return this
    }

    /** Most requests in any second. */
    fun mostInASecond(): Int = sends.maxOf { from -> sends.count { it >= from && it - from < 1.seconds } }

    /** Requests a second between [from] and [until]. */
    fun rate(from: Duration, until: Duration): Double =
        sends.count { it >= from && it < until } * 1_000.0 / (until - from).inWholeMilliseconds

    private fun step(number: Int, known: GatewayTables): GatewayTables {
        val restarted = faults.any { it.kind == ColdFault.Kind.DEAD && number in it.gateways && it.until == elapsed }
        val current = if (restarted) startedTables(number, elapsed) else known
        if (has(number, ColdFault.Kind.DEAD) || has(number, ColdFault.Kind.FROZEN)) return current
        val sinceRead = (elapsed.inWholeMilliseconds + number * READ_OFFSET_MILLIS) % READ_MILLIS
        val isReadDue = restarted || sinceRead < STEP_MILLIS
        val isCut = has(number, ColdFault.Kind.CUT)
        val isRenewalDue = elapsed - renewedAt.getValue(number) >= RENEW_INTERVAL
        if (!isCut && isRenewalDue) renewedAt = renewedAt + (number to elapsed)
        val read = if (isReadDue && !isCut) readStore(current) else current
        return sendAll(read)
    }

    private fun readStore(known: GatewayTables): GatewayTables {
        val peers = renewedAt.filterValues { elapsed - it < LEASE }.keys.map {
            StoreChange.PeerRegistered("edge-$it", Endpoint("10.0.1.$it", 1))
        }
        val contents = listOf(StoreChange.ConfigSet(config), StoreChange.UpstreamRegistered(engine(elapsed))) + peers
        val read = GatewayInput.StoreRead(contents.toPersistentList(), now())
        return schedule.run(Tick(now(), persistentListOf(read)), known).tables
    }

    private fun sendAll(known: GatewayTables): GatewayTables {
        val best = policy.select(SelectionContext(known, request, now())).best ?: return known
        sends = sends + elapsed
        return sendAll(policy.recordSent(known, best.row.registration.id, request, now()))
    }

    private fun has(gateway: Int, kind: ColdFault.Kind) =
        faults.any { it.kind == kind && gateway in it.gateways && elapsed >= it.from && elapsed < it.until }

    private fun startedTables(number: Int, at: Duration) = GatewayTables(
        GatewayIdentity("edge-$number", 1, isFirstStart = false),
        GatewaySettings(coldOverage = 1.5, coldSlack = 5.0),
        startedAt = ORIGIN + at,
    )

    private fun now() = ORIGIN + elapsed

    companion object {
        val ENGINES = ServiceName("engines")
        val ENGINE = UpstreamId("engine-1")
        const val PER_SECOND = 17.0

        /** More requests than this in a second break the bound. */
        const val BOUND = 30
        val ORIGIN = Timestamp(0) + 1_000.seconds
        const val STEP_MILLIS = 10L
        val STEP = STEP_MILLIS.milliseconds
        const val READ_MILLIS = 1_125L
        const val READ_OFFSET_MILLIS = 137L
        val RENEW_INTERVAL = 2.seconds
        val LEASE = 6.seconds

        val config = ServingConfig(
            version = 1,
            services = persistentMapOf(
                ENGINES to ServiceSpec(ENGINES, engine = null, cold = ColdStart(60.seconds, PER_SECOND)),
            ),
        )

        fun engine(age: Duration, coldRemaining: Duration? = 60.seconds - age, startedMillis: Long = 1) =
            UpstreamRegistration(
                id = ENGINE,
                service = ENGINES,
                endpoint = Endpoint("10.0.0.1", 80),
                domain = FailureDomain("zone"),
                slots = 48,
                isAccepting = true,
                startedMillis = startedMillis,
                residentModels = persistentSetOf(),
                resident = persistentMapOf(),
                coldRemaining = coldRemaining,
            )

        private val route = ServingRoute(
            name = RouteName("chat"),
            host = "host",
            prefix = "/",
            kind = RequestKind.STREAM,
            isResumable = false,
            targets = persistentListOf(),
            timeout = 10.seconds,
            targetLatency = 500.milliseconds,
            maxAttempts = 1,
            priority = 0,
            isPublic = true,
        )

        val request = RequestRow(
            number = RequestNumber(1),
            call = ServingCall("id-1", "host", "/"),
            route = route,
            service = ENGINES,
            account = null,
            priority = 0,
            tokens = 0,
            arrivedAt = ORIGIN,
            deadline = ORIGIN + 100.seconds,
        )
    }
}
