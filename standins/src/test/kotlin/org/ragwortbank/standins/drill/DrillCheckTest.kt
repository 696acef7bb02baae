package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DrillCheckTest {
    private val first = DrillOperator.FIRST
    private val withRoute = first.copy(version = 4, routes = first.routes.put("/added/", "shelf"))
    private val withKey = first.copy(version = 2, keys = first.keys.add("given"))
    private val moved = first.copy(version = 4, routes = first.routes.put(DrillOperator.MOVED, "shelf"))

    @Test
    fun `given a denial later than the bound after the acknowledgement, then the version isn't in force`() {
        val published = listOf(publishedAt(0.seconds, first), publishedAt(10.seconds, withRoute))
        assertEquals(emptyList(), promisesBroken(published, denied("/added/", at = 12.seconds)))
        assertEquals(listOf(Promise.IN_FORCE), promisesBroken(published, denied("/added/", at = 12_001.milliseconds)))
    }

    @Test
    fun `given a run by the old service later than the bound, then the version isn't in force`() {
        val published = listOf(publishedAt(0.seconds, first), publishedAt(10.seconds, moved))
        val late = request(DrillOperator.MOVED, at = 13.seconds)
        assertEquals(listOf(Promise.IN_FORCE), promisesBroken(published, late, service = "desk"))
        assertEquals(emptyList(), promisesBroken(published, late, service = "shelf"))
    }

    @Test
    fun `given a disturbance in the contact time before a request, then only machines that it spares are late`() {
        val published = listOf(publishedAt(0.seconds, first), publishedAt(2.seconds, withRoute))
        val late = denied("/added/", at = 13.seconds)
        val ofStore = Disturbance(machine = null, 9.seconds, 10_001.milliseconds)
        assertEquals(emptyList(), promisesBroken(published, late, disturbances = listOf(ofStore)))
        assertEquals(emptyList(), promisesBroken(published, late, disturbances = listOf(ofStore.copy(machine = 0))))
        val elsewhere = listOf(ofStore.copy(machine = 1))
        assertEquals(listOf(Promise.IN_FORCE), promisesBroken(published, late, disturbances = elsewhere))
        val earlier = listOf(ofStore.copy(until = 10.seconds))
        assertEquals(listOf(Promise.IN_FORCE), promisesBroken(published, late, disturbances = earlier))
    }

    @Test
    fun `given a withdrawn key, then a run later than its bound breaks the promise also out of touch`() {
        val published = listOf(publishedAt(0.seconds, withKey), publishedAt(10.seconds, moved))
        val cut = listOf(Disturbance(machine = 0, 9.seconds, 30.seconds))
        val inTime = request(DrillOperator.STABLE, at = 15.seconds, key = "given")
        assertEquals(emptyList(), promisesBroken(published, inTime, service = "desk", disturbances = cut))
        val late = inTime.copy(sentAt = 15_001.milliseconds)
        val broken = promisesBroken(published, late, service = "desk", disturbances = cut)
        assertEquals(listOf(Promise.KEY_WITHDRAWN), broken)
    }

    @Test
    fun `given the effect of a version, then the same process doesn't act on an older one later`() {
        val published = listOf(publishedAt(0.seconds, first), publishedAt(10.seconds, moved))
        val effect = request(DrillOperator.MOVED, at = 10.seconds).copy(id = "effect")
        val old = request(DrillOperator.MOVED, at = 11.seconds).copy(id = "old")
        val services = mapOf("effect" to "shelf", "old" to "desk")
        fun broken(after: DrillRequest) = promises(published, listOf(effect, after), services, emptyList())
        assertEquals(listOf(Promise.NOT_REVERTED), broken(old))
        assertEquals(emptyList(), broken(old.copy(incarnation = 2)))
        assertEquals(emptyList(), broken(old.copy(sentAt = effect.endedAt + DrillBounds.revertSlack)))
    }

    @Test
    fun `given a key or a service that no version has, then a run is not allowed`() {
        val published = listOf(publishedAt(0.seconds, first))
        val withoutKey = request(DrillOperator.STABLE, at = 1.seconds, key = "never")
        assertEquals(true, Promise.ALLOWED in promisesBroken(published, withoutKey, service = "desk"))
        val elsewhere = request(DrillOperator.STABLE, at = 1.seconds)
        assertEquals(true, Promise.ALLOWED in promisesBroken(published, elsewhere, service = "shelf"))
    }

    @Test
    fun `given denials of what all versions allow, then more than ten break the promise also out of touch`() {
        val published = listOf(publishedAt(0.seconds, first))
        val cut = listOf(Disturbance(machine = 0, Duration.ZERO, 30.seconds))
        val denials = (1..11).map { denied(DrillOperator.STABLE, at = 1.seconds).copy(id = "denied-$it") }
        assertEquals(emptyList(), promises(published, denials.drop(1), emptyMap(), cut))
        assertEquals(listOf(Promise.NOT_DENIED), promises(published, denials, emptyMap(), cut))
    }

    @Test
    fun `given added routes that are served far less than the first ones, then that breaks the promise`() {
        val published = listOf(publishedAt(0.seconds, first), publishedAt(1.seconds, withRoute))
        val added = (1..20).map { request("/added/", at = 9.seconds).copy(id = "added-$it", status = 503) }
        val others = (1..20).map { request(DrillOperator.STABLE, at = 9.seconds).copy(id = "first-$it") }
        val services = others.associate { it.id to "desk" }
        assertEquals(listOf(Promise.ADDED_SERVED), promises(published, added + others, services, emptyList()))
        val served = services + added.take(5).associate { it.id to "shelf" }
        assertEquals(emptyList(), promises(published, added + others, served, emptyList()))
    }

    private fun promisesBroken(
        published: List<PublishedConfig>,
        request: DrillRequest,
        service: String? = null,
        disturbances: List<Disturbance> = emptyList(),
    ) = promises(published, listOf(request), service?.let { mapOf(request.id to it) }.orEmpty(), disturbances)

    private fun promises(
        published: List<PublishedConfig>,
        requests: List<DrillRequest>,
        services: Map<String, String>,
        disturbances: List<Disturbance>,
    ): List<Promise> {
        val record = DrillRecord(
            published = published.toPersistentList(),
            disturbances = disturbances.toPersistentList(),
            requests = persistentListOf<DrillRequest>().addAll(requests),
            services = persistentMapOf<String, String>().putAll(services),
        )
        return DrillCheck(record).breaches().map { it.promise }
    }

    private fun publishedAt(time: Duration, config: DrillConfig) = PublishedConfig(config, time, time)

    private fun denied(prefix: String, at: Duration) = request(prefix, at).copy(status = 404)

    private fun request(prefix: String, at: Duration, key: String = DrillOperator.STABLE_KEY) =
        DrillRequest("request", machine = 0, incarnation = 1, prefix, key, at, at + 5.milliseconds, status = 200)
}
