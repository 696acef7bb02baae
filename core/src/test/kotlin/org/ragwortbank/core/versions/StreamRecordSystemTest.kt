package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import org.ragwortbank.core.versions.VersionFixture.Companion.OPENING
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams at an admitted version are recorded before their first event is passed on. */
class StreamRecordSystemTest {
    private val fixture = VersionFixture(NEW, NEW).apply {
        read(versions(OLD, NEW))
        advanceReading(OPENING)
    }

    @Test
    fun `given a stream sent at an admitted version, then its record is asked for in the tick in which it is sent`() {
        fixture.begin()

        val record = fixture.savedRecords().single()
        assertEquals(setOf(StreamId("request-1")), record.streams)
        assertEquals(NEW, record.version.value)
        assertEquals("entry-1", record.key.gateway)
    }

    @Test
    fun `given a stream sent at the base version, then it isn't recorded and its answer is passed on at once`() {
        val base = VersionFixture(OLD, OLD)
        base.read(base.versions(OLD, NEW))

        val number = base.begin()
        val attempt = base.gateway.sentAttempts().single()
        val records = base.savedRecords()
        base.gateway.tick(base.head(attempt))

        assertEquals(emptyList(), records)
        assertEquals(listOf(number), base.relays())
    }

    @Test
    fun `given an answer that begins before its record is saved, then it is passed on in the tick of the reply`() {
        val number = fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        val key = fixture.savedRecords().single().key

        fixture.gateway.tick(fixture.head(attempt))
        assertEquals(emptyList(), fixture.relays())
        fixture.gateway.tick(GatewayInput.StreamRecordSaved(key))

        assertEquals(listOf(number), fixture.relays())
    }

    @Test
    fun `given a record that is saved before the answer begins, then the answer is passed on at once`() {
        val number = fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        fixture.gateway.tick(GatewayInput.StreamRecordSaved(fixture.savedRecords().single().key))

        fixture.gateway.tick(fixture.head(attempt))

        assertEquals(listOf(number), fixture.relays())
    }

    @Test
    fun `given a record that is seen in the store, then its answer is passed on without the reply`() {
        val number = fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        val record = fixture.savedRecords().single()
        fixture.gateway.tick(fixture.head(attempt))

        fixture.read(StoreChange.StreamsRecorded(record))

        assertEquals(listOf(number), fixture.relays())
    }

    @Test
    fun `given streams that are sent while a write is open, then all go into the next record`() {
        fixture.begin()
        val first = fixture.savedRecords().single()
        val gathered = (1..3).map { fixture.begin().let { fixture.savedRecords() } }
        fixture.gateway.advance(200.milliseconds)
        fixture.gateway.tick(GatewayInput.StreamRecordSaved(first.key))

        val next = fixture.savedRecords().single()
        assertEquals(listOf(emptyList(), emptyList(), emptyList<StreamRecord>()), gathered)
        assertEquals(setOf("request-2", "request-3", "request-4"), next.streams.map { it.value }.toSet())
        assertEquals(first.key.number + 1, next.key.number)
    }

    @Test
    fun `given a write that fails, then the same record is asked for again, whatever gathers meanwhile`() {
        fixture.begin()
        val first = fixture.savedRecords().single()
        fixture.begin()
        fixture.gateway.tick(GatewayInput.StreamRecordFailed(first.key))

        fixture.gateway.advance(150.milliseconds)

        assertEquals(listOf(first), fixture.savedRecords())
    }

    @Test
    fun `given a write whose outcome is never reported, then the same record is asked for again`() {
        fixture.begin()
        val first = fixture.savedRecords().single()

        fixture.gateway.advance(1_900.milliseconds)
        assertEquals(emptyList(), fixture.savedRecords())
        fixture.gateway.advance(200.milliseconds)

        assertEquals(listOf(first), fixture.savedRecords())
    }

    // Guards against a record that is kept after the version is no longer admitted and the service settled for others.
    @Test
    fun `given a reply later than the lease of a record, then the record is asked for again, the answer held`() {
        fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        val record = fixture.savedRecords().single()

        fixture.gateway.suspendFor(3_100.milliseconds, GatewayInput.StreamRecordSaved(record.key))
        fixture.gateway.tick(fixture.head(attempt))
        val late = fixture.relays()
        fixture.read()
        fixture.gateway.advance(200.milliseconds)
        val repeated = fixture.savedRecords()
        fixture.gateway.tick(GatewayInput.StreamRecordSaved(record.key))

        assertEquals(emptyList(), late)
        assertEquals(listOf(record), repeated)
        assertEquals(1, fixture.relays().size)
    }

    @Test
    fun `given a version that is no longer admitted, then requests that wait for their record fail`() {
        fixture.begin()
        fixture.gateway.tick(fixture.head(fixture.gateway.sentAttempts().single()))

        fixture.read(fixture.versions(OLD, revision = 2))

        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN), fixture.gateway.refusals().map { it.code })
        assertTrue(fixture.gateway.effects.any { it is GatewayEffect.CancelAttempt })
        assertEquals(emptyList(), fixture.relays())
    }

    @Test
    fun `given an answer that is held, when its connection is lost, then no answer counts as seen`() {
        val number = fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        fixture.gateway.tick(fixture.head(attempt))

        val cause = AttemptFailure.ConnectionLost("closed")
        fixture.gateway.tick(GatewayInput.AttemptFailed(number, attempt.attemptNumber, cause))

        assertEquals(1, fixture.gateway.sentAttempts().size)
        assertEquals(null, fixture.row(number)?.heldHead)
        assertEquals(NEW, fixture.row(number)?.version?.value)
    }

    @Test
    fun `given a rejection while the record is open, then the request is tried elsewhere as ever`() {
        fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        val rejection = AnswerFacts(status = 503, notRun = true, load = null)

        fixture.gateway.tick(GatewayInput.AnswerHeadReceived(attempt.number, attempt.attemptNumber, rejection))

        assertEquals(1, fixture.gateway.sentAttempts().size)
        assertEquals(emptyList(), fixture.savedRecords())
    }

    @Test
    fun `given an answer that is held for long, then its upstream doesn't count as silent`() {
        fixture.begin()
        val attempt = fixture.gateway.sentAttempts().single()
        fixture.gateway.tick(fixture.head(attempt))

        fixture.gateway.advance(1_900.milliseconds)

        assertFalse(fixture.gateway.tables.upstreams.getValue(attempt.upstream).health.isBackedOff(fixture.gateway.now))
    }

    @Test
    fun `given a store that lost its last seconds, then unknown streams are refused and own records are saved again`() {
        fixture.begin()
        val record = fixture.savedRecords().single()
        fixture.gateway.tick(GatewayInput.StreamRecordSaved(record.key))
        val copy = arrayOf(fixture.engine("engine-1", NEW), fixture.versions(OLD, NEW, completeEra = 1))
        fixture.readWhole(*copy, era = 1)
        fixture.gateway.advance(1.seconds)

        fixture.readWhole(*copy, era = 2)
        val savedAgain = fixture.savedRecords()
        val refusals = listOf(0.seconds, 60.seconds, 100.seconds).flatMap {
            fixture.advanceReading(it)
            fixture.takeUp("unknown")
            fixture.gateway.refusals().map { refusal -> refusal.code }
        }

        assertEquals(listOf(record), savedAgain)
        assertEquals(List(3) { ResultCode.VERSION_UNDECIDED }, refusals)
    }
}
