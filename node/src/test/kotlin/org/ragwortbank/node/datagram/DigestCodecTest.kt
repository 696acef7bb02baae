package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.crash.CrashPlace
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.ModelSpec
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class DigestCodecTest {
    private val adapter = AdapterKey("base", "a7")

    @Test
    fun `given each kind of digest, then decoding returns what was encoded`() {
        val engine = EngineSpec(persistentMapOf("base" to ModelSpec("base", 70.5, 1.5)), 76.0, 26)
        val ranked = LoadRequest(adapter, 3, 2, 40.milliseconds, rank = 0)
        val loadRequests = persistentListOf(LoadRequest(adapter, null), ranked)
        val inUse = persistentSetOf(adapter)
        val demandDigest = DemandDigest("e", 1, 2, UpstreamId("i"), 9, 700.milliseconds, loadRequests, inUse, engine)
        assertEquals(ReceivedDigest.Demand(demandDigest), DigestCodec.decode(DigestCodec.encode(demandDigest)))
        val evacuated = demandDigest.copy(isEvacuated = true)
        assertEquals(ReceivedDigest.Demand(evacuated), DigestCodec.decode(DigestCodec.encode(evacuated)))
        val resident = persistentMapOf(adapter to 3L)
        val engineDigest = EngineDigest(UpstreamId("i"), 1, 2, resident, runningRequests = 4, queuedRequests = 5)
        assertEquals(ReceivedDigest.Engine(engineDigest), DigestCodec.decode(DigestCodec.encode(engineDigest)))
        val admittedTokens = persistentMapOf(AccountId("club") to 9L)
        val peerDigest = PeerDigest("e", 1, 2, admittedTokens, 7, 40, persistentMapOf("f" to DigestStamp(1, 8)))
        assertEquals(ReceivedDigest.Peer(peerDigest), DigestCodec.decode(DigestCodec.encode(peerDigest)))
    }

    @Test
    fun `given an engine digest with memory in use, then that is decoded and takes few bytes`() {
        val without = EngineDigest(UpstreamId("i"), 1, 2)
        val full = without.copy(usedTokens = 148_245)
        assertEquals(ReceivedDigest.Engine(full), DigestCodec.decode(DigestCodec.encode(full)))
        assertTrue(DigestCodec.encode(full).size - DigestCodec.encode(without).size <= 7)
    }

    @Test
    fun `given a digest with crashes, cleared traits and blocks, then decoding returns what was encoded`() {
        val part = CrashTrait.PromptPart(PromptPartId("5c1e07a2"))
        val fingerprint = RequestFingerprint(-3)
        val repeat = CrashTrait.Repeat(fingerprint)
        val suspects = SuspectRequests(breadth = 99, persistentSetOf(RequestFingerprint(-3), RequestFingerprint(4)))
        val report = CrashReport(
            crash = UpstreamIncarnation(UpstreamId("i-1"), startedMillis = 9),
            place = CrashPlace(ServiceName("engines"), "10.0.0.1"),
            age = 70.milliseconds,
            suspects = persistentMapOf(part to suspects, repeat to SuspectRequests.repeatsOf(fingerprint)),
        )
        val digest = PeerDigest(
            sender = "e",
            incarnation = 1,
            number = 2,
            crashes = persistentListOf(report),
            clearedTraits = persistentMapOf(part to 300.milliseconds),
            blocks = persistentSetOf(repeat),
        )
        assertEquals(ReceivedDigest.Peer(digest), DigestCodec.decode(DigestCodec.encode(digest)))
    }

    // Guards against a peer's total below zero, which would fill the account's bucket here.
    @Test
    fun `given totals of admitted tokens below zero, then they are left out`() {
        val totals = persistentMapOf(AccountId("club") to -5L, AccountId("other") to 9L)
        val decoded = DigestCodec.decode(DigestCodec.encode(PeerDigest("e", 1, 2, totals)))
        val digest = assertIs<ReceivedDigest.Peer>(decoded).digest
        assertEquals(mapOf(AccountId("other") to 9L), digest.admittedTokens.toMap())
    }

    // Guards against a part that crashes engines and is taken for sound at a time that has not come yet.
    @Test
    fun `given a trait that was cleared in the future, then it is left out`() {
        val parts = listOf("a", "b").map { CrashTrait.PromptPart(PromptPartId(it)) }
        val (later, earlier) = listOf(-90_000, 20).map { it.milliseconds }
        val ages = persistentMapOf<CrashTrait, Duration>(parts[0] to later, parts[1] to earlier)
        val decoded = DigestCodec.decode(DigestCodec.encode(PeerDigest("e", 1, 2, clearedTraits = ages)))
        assertEquals(setOf(parts[1]), assertIs<ReceivedDigest.Peer>(decoded).digest.clearedTraits.keys.toSet())
    }

    // Guards against an engine that loads more than it holds.
    @Test
    fun `given an engine's capacity with a size below zero, then it isn't used`() =
        listOf(
            EngineSpec(persistentMapOf("m" to ModelSpec("m", -70.5, 1.5)), 76.0, 26),
            EngineSpec(persistentMapOf("m" to ModelSpec("m", 70.5, -1.5)), 76.0, 26),
            EngineSpec(persistentMapOf("m" to ModelSpec("m", Double.NaN, 1.5)), 76.0, 26),
            EngineSpec(persistentMapOf(), Double.POSITIVE_INFINITY, 26),
        ).forEach { engine ->
            val digest = DemandDigest("e", 1, 2, UpstreamId("i"), engine = engine)
            val decoded = DigestCodec.decode(DigestCodec.encode(digest))
            assertEquals(null, assertIs<ReceivedDigest.Demand>(decoded).digest.engine, "$engine")
        }

    @Test
    fun `given an engine with all adapter slots taken, then its digest fits into one datagram`() {
        val resident = (1..26).associate { AdapterKey("daka510000", "a${2_900 + it}") to 12L }.toPersistentMap()
        assertTrue(DigestCodec.encode(EngineDigest(UpstreamId("i-7f3a91c2"), 1, 2, resident)).size < 1_400)
    }

    @Test
    fun `given random bytes, then they are reported as malformed and nothing is thrown`() {
        val random = Random(7)
        repeat(2_000) {
            assertIs<ReceivedDigest.Malformed>(DigestCodec.decode(random.nextBytes(random.nextInt(0, 60))))
        }
    }
}
