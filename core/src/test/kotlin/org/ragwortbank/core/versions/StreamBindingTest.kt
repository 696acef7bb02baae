package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import org.ragwortbank.core.versions.VersionFixture.Companion.OPENING
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** At which versions streams begin, and what stays with the version that it was sent to. */
class StreamBindingTest {
    @Test
    fun `given upstreams without versions, when a stream begins, then it is sent as ever`() {
        val fixture = VersionFixture(null, null)

        fixture.begin()

        assertEquals(1, fixture.gateway.sentAttempts().size)
        assertEquals(emptyList(), fixture.savedVersions())
    }

    @Test
    fun `given a store without versions, when a stream begins, then it waits until they are read`() {
        val fixture = VersionFixture()

        fixture.begin()
        assertEquals(emptyList(), fixture.sentTo())
        fixture.read(fixture.versions(OLD))

        assertEquals(listOf("engine-1"), fixture.sentTo())
    }

    @Test
    fun `given a version that was just admitted, when streams begin, then they go to the base version`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))

        fixture.advanceReading(3.seconds)
        val sent = (1..6).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(setOf("engine-1"), sent.toSet())
    }

    @Test
    fun `given a version admitted for some seconds, when streams begin, then they go to both versions`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))

        fixture.advanceReading(OPENING)
        val sent = (1..6).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(setOf("engine-1", "engine-2"), sent.toSet())
    }

    @Test
    fun `given a store that wasn't read for longer than the lease, when streams begin, then all at the base version`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.advanceReading(OPENING)

        fixture.gateway.advance(3_100.milliseconds)
        val sent = (1..4).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(listOf("engine-1", "engine-1", "engine-1", "engine-1"), sent)
    }

    @Test
    fun `given versions that changed between whole reads, then the admission counts as read anew`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW))
        fixture.advanceReading(OPENING)

        val engines = arrayOf(fixture.engine("engine-1", OLD), fixture.engine("engine-2", NEW))
        fixture.readWhole(*engines, fixture.versions(OLD, NEW, revision = 9))
        val sent = (1..4).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(setOf("engine-1"), sent.toSet())
    }

    @Test
    fun `given an upstream that states no version beside one that does, then streams don't begin there`() {
        val fixture = VersionFixture(OLD, null)
        fixture.read(fixture.versions(OLD))

        val sent = (1..4).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(setOf("engine-1"), sent.toSet())
    }

    @Test
    fun `given an upstream that starts again under its id at another version, then no old stream goes there`() {
        val fixture = VersionFixture(OLD, OLD)
        fixture.read(fixture.versions(OLD))
        fixture.read(fixture.engine("engine-2", NEW, startedMillis = 2))

        val sent = (1..4).flatMap { fixture.takeUp("stream").let { fixture.sentTo() } } +
            (1..4).flatMap { fixture.begin().let { fixture.sentTo() } }

        assertEquals(setOf("engine-1"), sent.toSet())
    }

    @Test
    fun `given a request lost at an admitted version, then it isn't tried at the base version`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.engine("engine-1", OLD, accepting = false))
        fixture.advanceReading(OPENING)
        fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        assertEquals(UpstreamId("engine-2"), attempt.upstream)

        fixture.read(fixture.engine("engine-1", OLD))
        fixture.gateway.tick(lost(attempt.number.value))

        assertEquals(emptyList(), fixture.sentTo())
        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN), fixture.gateway.refusals().map { it.code })
    }

    @Test
    fun `given a request lost at the base version before an answer, then it may begin at an admitted version`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.engine("engine-2", NEW, accepting = false))
        fixture.advanceReading(OPENING)
        val number = fixture.begin()

        fixture.read(fixture.engine("engine-2", NEW))
        fixture.gateway.tick(lost(number.value))

        assertEquals(listOf("engine-2"), fixture.sentTo())
        assertEquals(NEW, fixture.row(number)?.version?.value)
    }

    @Test
    fun `given no upstream of the version that began a stream, then its take-up is refused at once as not run`() {
        val fixture = VersionFixture()
        fixture.read(fixture.versions(OLD, NEW), fixture.record(NEW, "stream"))
        fixture.read(StoreChange.UpstreamRemoved(UpstreamId("engine-2")))

        fixture.takeUp("stream")

        val refusal = fixture.gateway.refusals().single()
        assertEquals(ResultCode.VERSION_GONE, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertNull(refusal.retryAfter)
    }

    @Test
    fun `given only a version that may not get streams yet, then a request is refused before its caller leaves`() {
        val fixture = VersionFixture(NEW, NEW)
        fixture.read(fixture.versions(OLD, NEW))

        fixture.begin()
        fixture.gateway.advance(1_300.milliseconds)

        assertEquals(listOf(ResultCode.VERSION_UNDECIDED), fixture.gateway.refusals().map { it.code })
    }

    private fun lost(number: Long) = GatewayInput.AttemptFailed(
        number = RequestNumber(number),
        attempt = 1,
        cause = AttemptFailure.ConnectionLost("closed"),
    )
}
