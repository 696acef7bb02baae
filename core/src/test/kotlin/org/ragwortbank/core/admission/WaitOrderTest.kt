package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.FleetBucket
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.sampleUse
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.WeightedService
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which of too many requests a few places are given to, each taken for a fixed time. */
class WaitOrderTest {
    private val start = Timestamp(0) + 100.seconds

    @Test
    fun `given a hot account below its quota, then an account of the same rank at its usual use is served in time`() {
        val load = Load(hotEvery = 10.milliseconds, hotRank = 0, usualEvery = 100.milliseconds, usualRank = 0)
        assertInTime(play(load, FairOrder()))
        assertTrue(play(load, RankOrder()).usualInTime < 0.5)
    }

    @Test
    fun `given a burst of less urgent requests, then the urgent are served in time and none of the others starves`() {
        val load = Load(hotEvery = 20.milliseconds, hotRank = 2, usualEvery = 100.milliseconds, usualRank = 0)
        val outcome = play(load, FairOrder())
        assertInTime(outcome)
        assertTrue(outcome.hotServed >= 0.5, "${outcome.hotServed} of the less urgent served")
    }

    @Test
    fun `given urgent requests that fill all places, then the less urgent are served within the aging bound`() {
        val load = Load(hotEvery = 20.milliseconds, hotRank = 0, usualEvery = 500.milliseconds, usualRank = 2)
        val longestWait = play(load, FairOrder()).usualLongestWait
        assertTrue(longestWait <= 3.seconds, "$longestWait")
        assertTrue(play(load, RankOrder()).usualLongestWait > 5.seconds)
    }

    @Test
    fun `given requests of one rank, then the one with the least time to its target latency goes first`() {
        val rows = listOf(row(1, HOT, 0, start, 2.seconds), row(2, HOT, 0, start, 500.milliseconds))
        val sorted = FairOrder().sorted(tables(persistentMapOf()), rows, start + 100.milliseconds)
        assertEquals(listOf(2L, 1L), sorted.map { it.number.value })
    }

    @Test
    fun `given a caller that repeats at once, then its repeats displace its own earlier attempts and no others`() {
        val repeats = (1L..3L).map { row(it, HOT, 0, start).repeating(RequestFingerprint(7)) }
        val others = (4L..6L).map { row(it, USUAL, 0, start).repeating(RequestFingerprint(it)) }
        val sorted = FairOrder().sorted(tables(persistentMapOf()), repeats + others, start + 100.milliseconds)
        assertEquals(listOf(3L, 4L, 5L, 6L, 1L, 2L), sorted.map { it.number.value })
    }

    // Requests of nobody in particular, or a fixed request of many users, look like repeats too.
    @Test
    fun `given equal requests without an account, then none displaces another`() {
        val rows = (1L..3L).map { row(it, HOT, 0, start).copy(account = null).repeating(RequestFingerprint(7)) }
        val sorted = FairOrder().sorted(tables(persistentMapOf()), rows, start + 100.milliseconds)
        assertEquals(listOf(1L, 2L, 3L), sorted.map { it.number.value })
    }

    @Test
    fun `given a repeat of an urgent request, then the earlier attempt goes before what is less urgent`() {
        val repeats = (1L..2L).map { row(it, HOT, 0, start).repeating(RequestFingerprint(7)) }
        val rows = repeats + row(3, USUAL, 2, start)
        val sorted = FairOrder().sorted(tables(persistentMapOf()), rows, start + 100.milliseconds)
        assertEquals(listOf(2L, 1L, 3L), sorted.map { it.number.value })
    }

    @Test
    fun `given an earlier attempt that has waited for long, then its turn comes as that of any other`() {
        val repeats = listOf(16L, 17L).map { row(it, HOT, 0, start).repeating(RequestFingerprint(7)) }
        val sorted = FairOrder().sorted(tables(persistentMapOf()), repeats, start + 2.seconds)
        assertEquals(listOf(16L, 17L), sorted.map { it.number.value })
    }

    @Test
    fun `given settings that don't name the feature, then requests are ordered by rank and age alone`() {
        val rows = listOf(row(1, HOT, 1, start), row(2, HOT, 0, start, 2.seconds), row(3, USUAL, 0, start))
        val sorted = OrderUnderPressure().sorted(tables(persistentMapOf()), rows, start + 3.seconds)
        assertEquals(listOf(2L, 3L, 1L), sorted.map { it.number.value })
    }

    private fun RequestRow.repeating(fingerprint: RequestFingerprint) =
        copy(call = call.copy(fingerprint = fingerprint))

    private fun assertInTime(outcome: Outcome) =
        assertTrue(outcome.usualInTime >= 0.95, "${outcome.usualInTime} served in time")

    private fun play(load: Load, order: WaitOrder): Outcome =
        (0 until STEPS).fold(Replay(tables(load.buckets(start)))) { replay, step ->
            replay.step(load, order, step)
        }.outcome(start + STEP * STEPS)

    private fun Replay.step(load: Load, order: WaitOrder, step: Int): Replay {
        val now = start + STEP * step
        val hot = arrivals(load.hotEvery, step) { row(step * 2L, HOT, load.hotRank, now) }
        val usual = arrivals(load.usualEvery, step) { row(step * 2L + 1, USUAL, load.usualRank, now) }
        val all = order.sorted(tables, waiting + hot + usual, now)
        val stillTaken = takenUntil.filter { it > now }
        val begun = all.take(PLACES - stillTaken.size)
        return copy(
            tables = begun.fold(tables.refill(now)) { current, row -> current.consume(row) },
            waiting = all.drop(begun.size).filter { now - it.arrivedAt < LONGEST_WAIT },
            takenUntil = stillTaken + begun.map { now + SERVICE_TIME },
            arrived = arrived + hot + usual,
            begunAfter = begunAfter + begun.associate { it.number to now - it.arrivedAt },
        )
    }

    private fun arrivals(interval: Duration, step: Int, row: () -> RequestRow): List<RequestRow> {
        val isDue = (STEP * step).inWholeMilliseconds % interval.inWholeMilliseconds == 0L
        return if (isDue) listOf(row()) else emptyList()
    }

    private fun GatewayTables.refill(now: Timestamp) =
        copy(
            buckets = buckets
                .mapValues { it.value.refill(now, emptyMap(), gateways = 1).sampleUse(now, settings.rateWindow) }
                .toPersistentMap(),
        )

    private fun GatewayTables.consume(row: RequestRow): GatewayTables {
        val account = checkNotNull(row.account)
        return copy(buckets = buckets.put(account, buckets.getValue(account).consume(row.tokens)))
    }

    private fun tables(buckets: PersistentMap<AccountId, FleetBucket>) =
        GatewayTables(GatewayIdentity("entry-1", 1), startedAt = start, buckets = buckets)

    private fun row(
        number: Long,
        account: AccountId,
        rank: Int,
        arrivedAt: Timestamp,
        targetLatency: Duration = 500.milliseconds,
    ) = RequestRow(
        number = RequestNumber(number),
        call = ServingCall("id-$number", "host", "/chat/"),
        route = route.copy(priority = rank, targetLatency = targetLatency),
        service = SERVICE,
        account = account,
        priority = rank,
        tokens = TOKENS,
        arrivedAt = arrivedAt,
        deadline = arrivedAt + 12.seconds,
    )

    /** Requests of two accounts at fixed intervals; both have the same rate. */
    private data class Load(val hotEvery: Duration, val hotRank: Int, val usualEvery: Duration, val usualRank: Int) {
        fun buckets(now: Timestamp) = persistentMapOf(HOT to bucket(now), USUAL to bucket(now))

        private fun bucket(now: Timestamp) =
            FleetBucket(rate = 200_000, burst = 200_000, level = 200_000.0, updatedAt = now)
    }

    private data class Replay(
        val tables: GatewayTables,
        val waiting: List<RequestRow> = emptyList(),
        val takenUntil: List<Timestamp> = emptyList(),
        val arrived: List<RequestRow> = emptyList(),
        val begunAfter: Map<RequestNumber, Duration> = emptyMap(),
    ) {
        fun outcome(end: Timestamp): Outcome {
            val (hot, usual) = arrived.partition { it.account == HOT }
            return Outcome(
                usualInTime = usual.share { waitOf(it) <= it.route.targetLatency },
                hotServed = hot.share { it.number in begunAfter },
                usualLongestWait = usual.filter { it.arrivedAt <= end - LONGEST_WAIT }.maxOf { waitOf(it) },
            )
        }

        private fun waitOf(row: RequestRow) = begunAfter[row.number] ?: LONGEST_WAIT

        private fun List<RequestRow>.share(isCounted: (RequestRow) -> Boolean) = count(isCounted).toDouble() / size
    }

    private data class Outcome(val usualInTime: Double, val hotServed: Double, val usualLongestWait: Duration)

    private companion object {
        val HOT = AccountId("hot")
        val USUAL = AccountId("usual")
        val SERVICE = ServiceName("engines")
        val STEP = 10.milliseconds
        const val STEPS = 1_000
        const val PLACES = 4
        val SERVICE_TIME = 100.milliseconds
        val LONGEST_WAIT = 6.seconds
        const val TOKENS = 1_000L

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
