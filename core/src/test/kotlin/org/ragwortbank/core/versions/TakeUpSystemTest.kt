package org.ragwortbank.core.versions

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import org.ragwortbank.core.versions.VersionFixture.Companion.OPENING
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** At which version a stream goes on that a request takes up. */
class TakeUpSystemTest {
    @Test
    fun `given a settled service and a fresh read, when a stream is taken up, then it goes on at the base at once`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.advanceReading(7.seconds)

        fixture.takeUp("stream")

        assertEquals(1, fixture.sentTo().size)
        assertEquals(0, fixture.refreshes())
    }

    @Test
    fun `given a settled service and an old read, when a stream is taken up, then it waits for a read`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.advanceReading(7.seconds)
        fixture.gateway.advance(3_100.milliseconds)

        fixture.takeUp("stream")
        assertEquals(emptyList(), fixture.sentTo())
        assertEquals(1, fixture.refreshes())
        fixture.read()

        assertEquals(1, fixture.sentTo().size)
    }

    // Guards against a record that another gateway writes for a version that is just no longer admitted.
    @Test
    fun `given a service that has just become settled, when a stream is taken up, then it waits for a read`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD, NEW))
        fixture.advanceReading(7.seconds)
        fixture.read(fixture.versions(OLD, revision = 2))
        fixture.advanceReading(3.seconds)
        fixture.gateway.advance(50.milliseconds)

        fixture.takeUp("stream")

        assertEquals(emptyList(), fixture.sentTo())
    }

    @Test
    fun `given a gateway that has just started, when a stream is taken up, then it waits for a read after that`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.gateway.advance(50.milliseconds)

        fixture.takeUp("stream")
        assertEquals(emptyList(), fixture.sentTo())
        fixture.gateway.advance(20.milliseconds)
        fixture.read(ago = 10.milliseconds)

        assertEquals(1, fixture.sentTo().size)
    }

    @Test
    fun `given a stream that was recorded at a version, when it is taken up, then it goes on there at once`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.record(NEW, "stream"))

        fixture.takeUp("stream")

        assertEquals(listOf("engine-2"), fixture.sentTo())
    }

    @Test
    fun `given a stream that began here, when it is taken up, then it goes on at its version at once`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.begin()
        fixture.gateway.tick(fixture.head(fixture.gateway.sentAttempts().single()))

        fixture.gateway.advance(100.milliseconds)
        fixture.takeUp("request-1")

        assertEquals(listOf("engine-1"), fixture.sentTo())
    }

    @Test
    fun `given two versions and an unknown stream, then a read before its take-up arrived doesn't decide it`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.gateway.advance(100.milliseconds)

        fixture.takeUp("stream")
        fixture.read(ago = 1.milliseconds)

        assertEquals(emptyList(), fixture.sentTo())
    }

    @Test
    fun `given two versions and an unknown stream, then a read after its take-up arrived finds its record`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.gateway.advance(100.milliseconds)

        fixture.takeUp("stream")
        fixture.gateway.advance(20.milliseconds)
        fixture.read(fixture.record(NEW, "stream"), ago = 10.milliseconds)

        assertEquals(listOf("engine-2"), fixture.sentTo())
    }

    @Test
    fun `given two versions and a stream without a record, then a read after its take-up decides for the base`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.record(NEW, "other"))
        fixture.gateway.advance(100.milliseconds)

        fixture.takeUp("stream")
        fixture.gateway.advance(20.milliseconds)
        fixture.read(ago = 10.milliseconds)

        assertEquals(listOf("engine-1"), fixture.sentTo())
    }

    @Test
    fun `given several take-ups that wait, then one read is asked for, and again when it doesn't come`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.advanceReading(OPENING)
        fixture.gateway.advance(20.milliseconds)

        val asked = (1..3).map { number -> fixture.takeUp("stream-$number").let { fixture.refreshes() } }
        fixture.gateway.advance(500.milliseconds)

        assertEquals(listOf(1, 0, 0), asked)
        assertEquals(1, fixture.refreshes())
    }

    @Test
    fun `given a store that doesn't answer, then a take-up is refused in time, and further ones at once`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.gateway.advance(100.milliseconds)

        fixture.takeUp("stream-1")
        fixture.gateway.advance(1_300.milliseconds)
        val first = fixture.gateway.refusals().single()
        fixture.takeUp("stream-2")
        val second = fixture.gateway.refusals().single()

        assertEquals(ResultCode.VERSION_UNDECIDED, first.code)
        assertEquals(ResultCode.VERSION_UNDECIDED, second.code)
        assertEquals(Execution.NOT_RUN, first.execution)
        assertNotNull(first.retryAfter)
    }

    @Test
    fun `given streams at another version, when a request takes one up without its name, then it is refused`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.record(NEW, "stream"))
        fixture.gateway.advance(100.milliseconds)

        fixture.takeUp(null)
        fixture.read()

        val refusal = fixture.gateway.refusals().single()
        assertEquals(ResultCode.VERSION_UNDECIDED, refusal.code)
        assertNull(refusal.retryAfter)
    }

    @Test
    fun `given a settled service, when a request takes up a stream without its name, then it goes on at the base`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.advanceReading(7.seconds)

        fixture.takeUp(null)

        assertEquals(1, fixture.sentTo().size)
    }

    @Test
    fun `given a whole read that lacks a record, when its stream is taken up, then it goes on at the base version`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.record(NEW, "stream"))
        fixture.readWhole(
            fixture.engine("engine-1", OLD),
            fixture.engine("engine-2", NEW),
            fixture.versions(OLD, NEW),
        )

        fixture.takeUp("stream")

        assertEquals(listOf("engine-1"), fixture.sentTo())
    }

    // Guards against a stream that goes on at the base version because an older copy of the store lacks its record.
    @Test
    fun `given a store back from an older copy, then recorded streams go on and unknown ones are refused`() {
        val fixture = VersionFixture()
        val engines = arrayOf(fixture.engine("engine-1", OLD), fixture.engine("engine-2", NEW))
        val admitting = fixture.versions(OLD, NEW, completeEra = 1)
        fixture.readWhole(*engines, admitting, fixture.record(NEW, "stream"), era = 1)
        fixture.readWhole(*engines, fixture.versions(OLD, completeEra = 1), era = 2)

        fixture.takeUp("stream")
        assertEquals(listOf("engine-2"), fixture.sentTo())
        fixture.takeUp("unknown")
        assertEquals(listOf(ResultCode.VERSION_UNDECIDED), fixture.gateway.refusals().map { it.code })
    }
}
