package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which versions of a service the store is asked to keep, as its upstreams come and go. */
class VersionSystemTest {
    @Test
    fun `given a service without versions in the store, then the one of most upstreams becomes the base`() {
        val fixture = VersionFixture(OLD, NEW)
        fixture.read(fixture.engine("engine-3", NEW))
        fixture.gateway.advance(100.milliseconds)

        val saved = fixture.savedVersions().single()
        assertEquals(fixture.versionsOf(NEW), saved.versions)
        assertEquals(0, saved.expectedRevision)
        assertEquals(1, fixture.refreshes())
    }

    @Test
    fun `given an upstream of another version than the base, then it is admitted`() {
        val fixture = VersionFixture(OLD, NEW)
        fixture.read(fixture.versions(OLD, revision = 7))
        fixture.gateway.advance(100.milliseconds)

        val saved = fixture.savedVersions().single()
        assertEquals(fixture.versionsOf(OLD, NEW), saved.versions)
        assertEquals(7, saved.expectedRevision)
    }

    @Test
    fun `given no upstream of the base for a minute, then the base is admitted too, and replaced minutes later`() {
        val fixture = VersionFixture(NEW, NEW)
        fixture.read(fixture.versions(OLD, NEW))

        val early = fixture.advanceReading(59.seconds)
        val leaving = fixture.advanceReading(2.seconds)
        fixture.read(fixture.versions(OLD, OLD, NEW, revision = 2))
        val stillLeaving = fixture.advanceReading(179.seconds)
        val replaced = fixture.advanceReading(2.seconds)
        fixture.read(fixture.versions(NEW, OLD, revision = 3))
        val settled = fixture.advanceReading(1.seconds)

        assertEquals(emptyList(), early + stillLeaving)
        assertEquals(listOf(fixture.versionsOf(OLD, OLD, NEW)), leaving.distinct())
        assertEquals(listOf(fixture.versionsOf(NEW, OLD)), replaced.distinct())
        assertEquals(listOf(fixture.versionsOf(NEW)), settled.distinct())
    }

    @Test
    fun `given a base that is left, when an upstream of it comes back, then it stays the base`() {
        val fixture = VersionFixture(NEW, NEW)
        fixture.read(fixture.versions(OLD, OLD, NEW))
        fixture.advanceReading(100.seconds)
        fixture.read(fixture.engine("engine-3", OLD))

        assertEquals(listOf(fixture.versionsOf(OLD, NEW)), fixture.advanceReading(1.seconds).distinct())
    }

    @Test
    fun `given an admitted version without upstreams for a minute, then it is no longer admitted`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD, NEW))

        val early = fixture.advanceReading(59.seconds)
        val later = fixture.advanceReading(2.seconds)

        assertEquals(emptyList(), early)
        assertEquals(listOf(fixture.versionsOf(OLD)), later.distinct())
    }

    @Test
    fun `given versions that vanished from the store, then the same ones are asked for again`() {
        val fixture = VersionFixture(NEW, NEW)
        fixture.read(fixture.versions(OLD, NEW, revision = 4))
        fixture.readWhole(fixture.engine("engine-1", NEW), fixture.engine("engine-2", NEW))
        fixture.gateway.advance(100.milliseconds)

        val saved = fixture.savedVersions().single()
        assertEquals(fixture.versionsOf(OLD, NEW), saved.versions)
        assertEquals(0, saved.expectedRevision)
    }

    @Test
    fun `given several gateways, then one asks the store, and the others in turn when nothing comes of it`() {
        val fixture = VersionFixture(OLD, NEW)
        fixture.read(*peers())
        fixture.read(fixture.versions(OLD))

        val early = fixture.advanceReading(1_900.milliseconds)
        val later = fixture.advanceReading(2.seconds * peers().size)

        assertEquals(emptyList(), early, "another gateway is the keeper of this service")
        assertEquals(listOf(fixture.versionsOf(OLD, NEW)), later.distinct())
    }

    @Test
    fun `given a list that wasn't read for seconds, then nothing is asked for`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.gateway.advance(3_200.milliseconds)
        fixture.read(fixture.engine("engine-2", NEW), ago = 3_100.milliseconds)
        fixture.gateway.advance(100.milliseconds)

        assertEquals(emptyList(), fixture.savedVersions())
    }

    @Test
    fun `given services without resumable streams, then nothing is asked for`() {
        val fixture = VersionFixture(null, null)
        val desk = StoreChange.UpstreamRegistered(
            fixture.gateway.registration("desk-1", GatewayFixture.DESK)
                .copy(version = SoftwareVersion(NEW)),
        )
        fixture.read(desk)
        fixture.gateway.advance(500.milliseconds)

        assertEquals(emptyList(), fixture.savedVersions())
    }

    private fun peers() = (2..30)
        .map { StoreChange.PeerRegistered("entry-$it", Endpoint("10.0.1.$it", 80)) }
        .toTypedArray()
}
