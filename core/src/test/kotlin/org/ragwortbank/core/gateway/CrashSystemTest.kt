package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.crash.CrashPlace
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.PromptParts
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashSystemTest {
    private val gateway = GatewayFixture()
    private var lastFingerprint = 0L

    @Test
    fun `given a request lost without an answer, then its traits are reported to the other gateways`() {
        addPeer()
        loseOne("bad")
        gateway.advance(200.milliseconds)
        val report = peerDigests().flatMap { it.crashes }.first()
        assertTrue(CrashTrait.PromptPart(PromptPartId("bad")) in report.suspects)
        assertEquals(setOf(RequestFingerprint(1)), report.suspects.values.flatMap { it.fingerprints }.toSet())
    }

    @Test
    fun `given a crash shortly before the search for a cause, then it is taken into the next one`() {
        addPeer()
        (3..8).map { gateway.registration("engine-$it", GatewayFixture.ENGINES) }
            .forEach { gateway.applyChanges(StoreChange.UpstreamRegistered(it)) }
        (1..3).forEach { receiveReport(it, number = it.toLong()) }
        gateway.advance(600.milliseconds)
        assertTrue(CrashTrait.PromptPart(PromptPartId("bad")) in gateway.tables.blocks)
    }

    @Test
    fun `given an adapter whose engines crash one after the other, then requests for it are not blocked`() {
        (1..6).forEach { number ->
            gateway.confirmConfiguration()
            val engine = gateway.registration("engine-$number", GatewayFixture.ENGINES, startedMillis = number + 10L)
            gateway.applyChanges(StoreChange.UpstreamRegistered(engine))
            gateway.receiveEngineDigest(engine.id)
            repeat(3) { loseForAdapter() }
            gateway.applyChanges(StoreChange.UpstreamRemoved(engine.id))
            gateway.advance(600.milliseconds)
        }
        assertTrue(gateway.tables.crashes.rows.size >= 3)
        assertTrue(gateway.tables.blocks.isEmpty())
    }

    @Test
    fun `given a request lost well into its answer, then it is no suspect`() {
        val number = receive("good")
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, okFacts))
        gateway.advance(300.milliseconds)
        gateway.tick(lost(number))
        assertTrue(gateway.tables.crashes.rows.isEmpty())
    }

    @Test
    fun `given an invalid answer, then it is no sign of a crash`() {
        val number = receive("good")
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.InvalidAnswer("bytes")))
        assertTrue(gateway.tables.crashes.rows.isEmpty())
    }

    @Test
    fun `given an upstream that leaves as planned, then its end is no crash`() {
        val number = receive("good")
        val leaving = gateway.registration(upstreamOf(number).value, GatewayFixture.ENGINES, accepting = false)
        gateway.applyChanges(StoreChange.UpstreamRegistered(leaving))
        gateway.tick(lost(number))
        assertTrue(gateway.tables.crashes.rows.isEmpty())
    }

    @Test
    fun `given an upstream that goes on answering, then one lost request is no crash`() {
        val first = receive("good")
        val upstream = upstreamOf(first)
        val others = (1..8).map { receive("other") }.filter { upstreamOf(it) == upstream }
        gateway.tick(lost(first))
        gateway.advance(200.milliseconds)
        gateway.tick(GatewayInput.AnswerHeadReceived(others.first(), 1, okFacts))
        assertTrue(gateway.tables.crashes.rows.values.none { it.isOpen })
    }

    // Guards against evidence of crashes that vanishes without a trace in the log.
    @Test
    fun `given an answer to a suspect, then one line names the request that clears it`() {
        loseOne("shared")
        gateway.advance(100.milliseconds)
        val number = receive("shared")
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, okFacts))
        gateway.advance(600.milliseconds)
        val lines = gateway.effects.filterIsInstance<GatewayEffect.Log>().map { it.line.message }
        assertEquals(1, lines.count { "part:shared" in it && "cleared of crashes" in it })
    }

    @Test
    fun `given an answer that goes on, then its traits are cleared here and at the other gateways`() {
        addPeer()
        loseOne("shared")
        gateway.advance(100.milliseconds)
        val number = receive("shared")
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, okFacts))
        gateway.advance(500.milliseconds)
        val trait = CrashTrait.PromptPart(PromptPartId("shared"))
        assertTrue(gateway.tables.crashes.rows.values.none { it.mayBeCausedBy(trait) })
        assertTrue(peerDigests().any { trait in it.clearedTraits })
    }

    @Test
    fun `given a blocked part, then a new request with it is refused as not run, with a time to come back`() {
        block("bad")
        val number = receive("bad")
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.REQUEST_BLOCKED, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertTrue((refusal.retryAfter ?: 0.seconds) > 23.hours)
        assertNull(gateway.tables.requests[number])
    }

    @Test
    fun `given a part that becomes blocked, then a request at an engine is withdrawn and its outcome is unknown`() {
        val number = receive("bad")
        block("bad")
        assertTrue(gateway.effects.any { it == GatewayEffect.CancelAttempt(number, 1, CancelCause.BLOCKED) })
        assertEquals(Execution.UNKNOWN, gateway.refusals().single().execution)
    }

    @Test
    fun `given a part that becomes blocked, then an answer that has begun goes on`() {
        val number = receive("bad")
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, okFacts))
        block("bad")
        assertTrue(gateway.refusals().isEmpty())
    }

    @Test
    fun `given a block that the store drops, then requests run again`() {
        block("bad")
        gateway.applyChanges(StoreChange.BlockLifted(CrashTrait.PromptPart(PromptPartId("bad"))))
        receive("bad")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a block that is missing in a read of the whole store, then requests run again`() {
        block("bad")
        gateway.tick(GatewayInput.StoreRead(gateway.storeContents(), gateway.now))
        receive("bad")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a block that only another gateway reports, then a read of the store without it does not lift it`() {
        addPeer()
        receiveBlock("bad", number = 1)
        gateway.tick(GatewayInput.StoreRead(gateway.storeContents(), gateway.now))
        receive("bad")
        assertEquals(ResultCode.REQUEST_BLOCKED, gateway.refusals().single().code)
    }

    @Test
    fun `given a block whose finder is gone before it was stored, then a listed gateway has the store keep it`() {
        receiveBlock("bad", number = 1)
        gateway.advance(5.seconds)
        assertTrue(gateway.effects.any { it is GatewayEffect.SaveBlock })
    }

    @Test
    fun `given a block that has lasted a day, then it is dropped`() {
        block("bad")
        gateway.suspendFor(24.hours)
        assertTrue(gateway.effects.any { it is GatewayEffect.DropBlock })
        assertTrue(gateway.tables.blocks.isEmpty())
    }

    @Test
    fun `given a request like those of two crashes, when it is lost, then it is not sent again`() {
        loseOne("bad")
        gateway.advance(500.milliseconds)
        gateway.confirmConfiguration()
        loseOne("bad")
        gateway.advance(3.seconds)
        gateway.confirmConfiguration()
        val call = gateway.call("/resume/x").copy(sharedPromptParts = parts("bad"), fingerprint = nextFingerprint())
        val number = gateway.receiveCall("/resume/x", call)
        gateway.tick(lost(number))
        assertTrue(gateway.sentAttempts().isEmpty())
    }

    // Guards against sound sessions that stay blocked after the part that harms was found.
    @Test
    fun `given a broader block in place of a narrower one, then digests and late writes don't bring that back`() {
        addPeer()
        val narrow = CrashTrait.PromptPart(PromptPartId("narrow"))
        loseOne("wide", "narrow")
        block("narrow")
        gateway.advance(100.milliseconds)
        block("wide")
        assertTrue(narrow !in gateway.tables.blocks)
        receiveBlock("narrow", number = 1)
        assertTrue(narrow !in gateway.tables.blocks)
        block("narrow")
        assertTrue(GatewayEffect.DropBlock(narrow) in gateway.effects)
        assertTrue(narrow !in gateway.tables.blocks)
    }

    /** Loses a request for the adapter that all engines have; its fingerprint and its prompt are its own. */
    private fun loseForAdapter() {
        val own = nextFingerprint()
        val call = gateway.call("/chat/x", adapter = "a1").copy(sharedPromptParts = parts("$own"), fingerprint = own)
        gateway.tick(lost(gateway.receiveCall("/chat/x", call)))
    }

    private fun loseOne(vararg parts: String) = gateway.tick(lost(receive(*parts)))

    private fun receive(vararg parts: String): RequestNumber {
        val call = gateway.call("/chat/x").copy(sharedPromptParts = parts(*parts), fingerprint = nextFingerprint())
        return gateway.receiveCall("/chat/x", call)
    }

    private fun nextFingerprint() = RequestFingerprint(++lastFingerprint)

    private fun upstreamOf(number: RequestNumber): UpstreamId = checkNotNull(gateway.tables.requests[number]?.upstream)

    private fun lost(number: RequestNumber) =
        GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("closed"))

    private fun parts(vararg names: String) = PromptParts.Listed(names.map { PromptPartId(it) })

    private fun block(part: String) =
        gateway.applyChanges(StoreChange.BlockSet(CrashTrait.PromptPart(PromptPartId(part))))

    private fun receiveBlock(part: String, number: Long) {
        val blocks = persistentSetOf<CrashTrait>(CrashTrait.PromptPart(PromptPartId(part)))
        val digest = PeerDigest("entry-2", incarnation = 1, number = number, blocks = blocks)
        gateway.tick(GatewayInput.PeerDigestReceived(digest, Endpoint("10.0.1.2", 2)))
    }

    /** Another gateway reports a crash on a host of its own, 120 ms after the one before. */
    private fun receiveReport(host: Int, number: Long) {
        gateway.advance(120.milliseconds)
        val fingerprint = RequestFingerprint(number)
        val bad = CrashTrait.PromptPart(PromptPartId("bad"))
        val report = CrashReport(
            crash = UpstreamIncarnation(UpstreamId("engine-x$host"), startedMillis = 1),
            place = CrashPlace(GatewayFixture.ENGINES, "10.0.3.$host"),
            age = 10.milliseconds,
            suspects = persistentMapOf(bad to SuspectRequests(breadth = 99, persistentSetOf(fingerprint))),
        )
        val digest = PeerDigest("entry-2", incarnation = 1, number = number, crashes = persistentListOf(report))
        gateway.tick(GatewayInput.PeerDigestReceived(digest, Endpoint("10.0.1.2", 2)))
    }

    private fun addPeer() = gateway.applyChanges(StoreChange.PeerRegistered("entry-2", Endpoint("10.0.1.2", 2)))

    private fun peerDigests(): List<PeerDigest> =
        gateway.effects.filterIsInstance<GatewayEffect.SendPeerDigest>().map { it.digest }

    private companion object {
        val okFacts = AnswerFacts(status = 200, notRun = false, load = null)
    }
}
