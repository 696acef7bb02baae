package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import org.ragwortbank.core.versions.VersionFixture.Companion.OPENING
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** What a gateway knows of a store that has come back from an older copy, by that store alone. */
class StoreDrillTest {
    private val fixture = VersionFixture(OLD, NEW)
    private val engines = arrayOf(fixture.engine("engine-1", OLD), fixture.engine("engine-2", NEW))

    // Guards against a gateway that starts after a drill and takes the copy for whole: its first answer is no change.
    @Test
    fun `given a first read after a drill, when a stream without a record is taken up, then it is refused`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 2)

        assertEquals(listOf(ResultCode.VERSION_UNDECIDED), takeUp("unknown"))
    }

    @Test
    fun `given a first read after a drill, when a recorded stream is taken up, then it goes on at its version`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), fixture.record(NEW, "s"), era = 2)

        assertEquals(emptyList(), takeUp("s"))
        assertEquals(listOf("engine-2"), fixture.sentTo())
    }

    @Test
    fun `given an item that vouches for the era of the answers, then a stream without a record began at the base`() =
        listOf(0L, 1L, 4L).forEach { era ->
            val fixture = VersionFixture(OLD, NEW)
            fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = era), era = era)
            fixture.takeUp("unknown")
            assertEquals(listOf("engine-1"), fixture.sentTo(), "era $era")
        }

    // Guards against an era that jumps, and against items that an earlier release has written.
    @Test
    fun `given an item of any other era, then a stream without a record is refused`() =
        listOf(1L to 3L, 0L to 1L, 5L to 1L, 1L to 0L).forEach { (completeEra, era) ->
            val fixture = VersionFixture(OLD, NEW)
            fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = completeEra), era = era)
            fixture.takeUp("unknown")
            assertEquals(emptyList(), fixture.sentTo(), "complete in era $completeEra, read in era $era")
        }

    @Test
    fun `given a copy in doubt, then it is vouched for when all streams are over that it may lack, and no sooner`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 2)

        val early = fixture.advanceReading(179.seconds)
        val later = fixture.advanceReading(2.seconds)

        assertEquals(emptyList(), early)
        assertEquals(listOf(fixture.versionsOf(OLD, NEW).copy(completeEra = 2)), later.distinct())
    }

    // Guards against a second drill that ends the doubt of the first one too early.
    @Test
    fun `given two drills in a row, then the doubt lasts for its whole time after the second one`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 2)
        fixture.advanceReading(2.minutes)
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 3)

        assertEquals(emptyList(), fixture.advanceReading(179.seconds))
        val later = fixture.advanceReading(2.seconds)
        assertEquals(listOf(fixture.versionsOf(OLD, NEW).copy(completeEra = 3)), later.distinct())
    }

    @Test
    fun `given versions that are written while a copy is in doubt, then they don't vouch for it`() {
        val third = StoreChange.UpstreamRegistered(
            fixture.gateway.registration("engine-3", GatewayFixture.ENGINES)
                .copy(version = SoftwareVersion("newest")),
        )
        fixture.readWhole(*engines, third, fixture.versions(OLD, NEW, completeEra = 1), era = 2)

        val saved = fixture.advanceReading(1.seconds)

        assertEquals(listOf(fixture.versionsOf(OLD, NEW, "newest").copy(completeEra = 1)), saved.distinct())
    }

    @Test
    fun `given a first start in any era, then the versions that are written vouch for it`() =
        listOf(0L, 1L, 7L).forEach { era ->
            val fixture = VersionFixture(OLD, OLD)
            fixture.readWhole(fixture.engine("engine-1", OLD), fixture.engine("engine-2", OLD), era = era)
            fixture.gateway.advance(1.seconds)
            val saved = fixture.savedVersions().map { it.versions }.distinct()
            assertEquals(listOf(fixture.versionsOf(OLD).copy(completeEra = era)), saved, "era $era")
        }

    // Guards against a drill that takes the item itself, which then seems to be that of a new service.
    @Test
    fun `given a copy without versions, when the gateway has read another era, then what it writes leaves the doubt`() {
        fixture.readWhole(era = 1)
        fixture.readWhole(*engines, era = 2)
        fixture.gateway.advance(1.seconds)

        assertEquals(listOf(0L), fixture.savedVersions().map { it.versions.completeEra }.distinct())
    }

    @Test
    fun `given versions that a copy lacks, when the gateway knows them, then it writes them as of their era`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 1)
        fixture.readWhole(*engines, era = 2)
        fixture.gateway.advance(1.seconds)

        val saved = fixture.savedVersions().map { it.versions }.distinct()
        assertEquals(listOf(fixture.versionsOf(OLD, NEW).copy(completeEra = 1)), saved)
    }

    // Guards against streams that are refused though they began after the drill: nothing tells them from those before.
    @Test
    fun `given a copy in doubt, when a stream begins at the base, then it is passed on at once and recorded`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, completeEra = 1), era = 2)
        fixture.read(fixture.engine("engine-2", OLD))
        val number = fixture.begin()
        fixture.gateway.tick(fixture.head(fixture.gateway.sentAttempts().single()))
        val relayed = fixture.relays()
        val record = fixture.savedRecords().single()

        assertEquals(listOf(number), relayed)
        assertEquals(SoftwareVersion(OLD) to setOf(StreamId("request-1")), record.version to record.streams)
    }

    // Guards against streams that a gateway knows from before the drill, and that no other one takes up.
    @Test
    fun `given a stream that began at the base before the drill, when the store comes back, then it is recorded`() {
        val fixture = VersionFixture(OLD, OLD)
        val copy = arrayOf(engines.first(), fixture.versions(OLD, NEW, completeEra = 1))
        fixture.readWhole(*copy, era = 1)
        fixture.begin()
        fixture.gateway.tick(fixture.head(fixture.gateway.sentAttempts().single()))
        fixture.readWhole(*copy, era = 2)

        assertEquals(listOf(setOf(StreamId("request-1"))), fixture.savedRecords().map { it.streams })
    }

    // Guards against a drill together with the end of all gateways, of whose streams at the base nobody knows then.
    @Test
    fun `given two versions, when a record is saved, then streams that began at the base stand beside it`() {
        fixture.readWhole(*engines, fixture.versions(OLD, NEW))
        repeat(4) { beginAndPass(fixture) }
        fixture.advanceReading(OPENING)
        val saved = (1..8).flatMap { beginAndPass(fixture) }

        assertEquals(setOf(OLD, NEW), saved.map { it.version.value }.toSet())
        assertTrue(fixture.gateway.effects.none { it is GatewayEffect.Refuse })
    }

    @Test
    fun `given a settled service, then no stream is recorded`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.readWhole(*engines.take(1).toTypedArray(), fixture.versions(OLD))

        assertEquals(emptyList(), (1..20).flatMap { beginAndPass(fixture) })
    }

    private fun beginAndPass(fixture: VersionFixture): List<StreamRecord> {
        fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        val atSend = fixture.savedRecords()
        fixture.gateway.tick(fixture.head(attempt), *saved(atSend))
        val atHead = fixture.savedRecords()
        fixture.gateway.advance(200.milliseconds, *saved(atHead))
        fixture.read()
        return atSend + atHead + fixture.savedRecords()
    }

    private fun saved(records: List<StreamRecord>) =
        records.map { GatewayInput.StreamRecordSaved(it.key) }.toTypedArray()

    private fun takeUp(stream: String): List<ResultCode> {
        fixture.takeUp(stream)
        return fixture.gateway.refusals().map { it.code }
    }
}
