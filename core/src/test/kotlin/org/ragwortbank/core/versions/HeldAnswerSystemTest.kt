package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.ConnectionUse
import org.ragwortbank.core.gateway.ExchangeTrace
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.VersionFixture.Companion.NEW
import org.ragwortbank.core.versions.VersionFixture.Companion.OLD
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers of upstreams that may have started again under their id at another version. */
class HeldAnswerSystemTest {
    @Test
    fun `given an upstream that is sound, then its answer is passed on at once`() {
        val fixture = fixture(OLD, NEW)
        val attempt = fixture.sendToBase()

        fixture.gateway.tick(fixture.head(attempt))

        assertEquals(listOf(attempt.number), fixture.relays())
    }

    @Test
    fun `given an upstream that failed lately, then its answer waits for a read of the list after its beginning`() {
        val fixture = fixture(OLD, NEW)
        val attempt = fixture.sendToFailed()

        fixture.gateway.tick(fixture.head(attempt))
        assertEquals(emptyList(), fixture.relays())
        assertEquals(1, fixture.refreshes())
        fixture.read(ago = 10.milliseconds)
        assertEquals(emptyList(), fixture.relays())
        fixture.gateway.advance(20.milliseconds)
        fixture.read(ago = 10.milliseconds)

        assertEquals(listOf(attempt.number), fixture.relays())
    }

    @Test
    fun `given an answer that waits for the list, when its upstream has another version there, then it is given up`() {
        val fixture = fixture(OLD, NEW)
        val attempt = fixture.sendToFailed()
        fixture.gateway.tick(fixture.head(attempt))

        fixture.gateway.advance(20.milliseconds)
        fixture.read(fixture.engine("engine-1", NEW, startedMillis = 2), ago = 10.milliseconds)

        assertEquals(emptyList(), fixture.relays())
        assertTrue(fixture.gateway.effects.any { it is GatewayEffect.CancelAttempt })
        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN), fixture.gateway.refusals().map { it.code })
    }

    @Test
    fun `given an upstream that is listed at another version before it answers, then the answer is given up`() {
        val fixture = fixture(OLD, NEW)
        val attempt = fixture.sendToBase()
        fixture.read(fixture.engine("engine-1", NEW, startedMillis = 2))

        fixture.gateway.tick(fixture.head(attempt))

        assertEquals(emptyList(), fixture.relays())
        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN), fixture.gateway.refusals().map { it.code })
    }

    @Test
    fun `given an upstream that started again at the same version, then its answer is passed on`() {
        val fixture = fixture(OLD, NEW)
        val attempt = fixture.sendToBase()
        fixture.read(fixture.engine("engine-1", OLD, startedMillis = 2))

        fixture.gateway.tick(fixture.head(attempt))

        assertEquals(listOf(attempt.number), fixture.relays())
    }

    @Test
    fun `given one version and an upstream that failed lately, then its answer is passed on at once`() {
        val fixture = VersionFixture(OLD, null)
        fixture.read(fixture.versions(OLD))
        val attempt = fixture.sendToFailed()

        fixture.gateway.tick(fixture.head(attempt))

        assertEquals(listOf(attempt.number), fixture.relays())
    }

    // Guards against an upstream that starts again at another version while this gateway is cut off from the store.
    @Test
    fun `given two versions and an old list, then an answer on a connection that is newer than the list waits`() {
        val fixture = fixture(OLD, NEW)
        val readAt = fixture.gateway.now
        fixture.gateway.advance(3_500.milliseconds)
        val kept = fixture.sendToBase()
        fixture.gateway.tick(fixture.head(kept).on(openedAt = readAt - 1.seconds))
        assertEquals(listOf(kept.number), fixture.relays())
        val fresh = fixture.sendToBase()
        fixture.gateway.tick(fixture.head(fresh).on(openedAt = fixture.gateway.now))
        assertEquals(emptyList(), fixture.relays())
        fixture.gateway.advance(20.milliseconds)
        fixture.read()

        assertEquals(listOf(fresh.number), fixture.relays())
    }

    @Test
    fun `given one version and an upstream that closed a connection, then an answer on a new one waits for the list`() {
        val fixture = VersionFixture(OLD, null)
        fixture.read(fixture.versions(OLD))
        fixture.gateway.advance(10.milliseconds)
        val endpoint = fixture.gateway.tables.upstreams.getValue(UpstreamId("engine-1")).registration.endpoint
        fixture.gateway.tick(GatewayInput.IdleConnectionClosed(endpoint))
        val attempt = fixture.sendToBase()
        fixture.gateway.tick(fixture.head(attempt).on(openedAt = fixture.gateway.now))
        assertEquals(emptyList(), fixture.relays())
        fixture.gateway.advance(20.milliseconds)
        fixture.read(fixture.engine("engine-1", NEW, startedMillis = 2))

        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN), fixture.gateway.refusals().map { it.code })
    }

    // Guards against waits where nothing has shown that an upstream may have started again.
    @Test
    fun `given one version and a silent store, then answers on new connections are passed on at once`() {
        val fixture = VersionFixture(OLD, null)
        fixture.read(fixture.versions(OLD))
        fixture.gateway.advance(3_500.milliseconds)
        val attempt = fixture.sendToBase()
        fixture.gateway.tick(fixture.head(attempt).on(openedAt = fixture.gateway.now))

        assertEquals(listOf(attempt.number), fixture.relays())
    }

    @Test
    fun `given an old list, when an upstream has failed since, then streams begin elsewhere or are refused`() {
        val fixture = VersionFixture(OLD, null)
        fixture.read(fixture.versions(OLD))
        fixture.gateway.advance(3_500.milliseconds)
        val lost = fixture.sendToBase()
        val cause = AttemptFailure.ConnectionLost("closed")
        fixture.gateway.tick(GatewayInput.AttemptFailed(lost.number, lost.attemptNumber, cause))
        fixture.gateway.advance(1.seconds)
        fixture.begin()
        assertEquals(emptyList(), fixture.sentTo())
        fixture.gateway.advance(1_300.milliseconds)

        assertEquals(listOf(ResultCode.VERSION_UNDECIDED), fixture.gateway.refusals().map { it.code }.distinct())
    }

    private fun GatewayInput.AnswerHeadReceived.on(openedAt: Timestamp) =
        copy(trace = ExchangeTrace(ConnectionUse(number = 1, carriedBefore = 0, openedAt)))

    private fun fixture(first: String, second: String) = VersionFixture(first, second).apply {
        read(versions(OLD, NEW))
        advanceReading(5.seconds)
        read(engine("engine-2", second, accepting = false))
        gateway.advance(50.milliseconds)
    }

    private fun VersionFixture.sendToBase(): UpstreamAttempt {
        begin()
        return gateway.sentAttempts().single()
    }

    /** Sends a stream to the base version half a second after one was lost there. */
    private fun VersionFixture.sendToFailed(): UpstreamAttempt {
        val lost = sendToBase()
        val cause = AttemptFailure.ConnectionLost("closed")
        gateway.tick(GatewayInput.AttemptFailed(lost.number, lost.attemptNumber, cause))
        gateway.advance(500.milliseconds)
        return sendToBase()
    }
}
