package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.crash.CrashPlace
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.node.ProcessEventLoop
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class DatagramLinkTest {
    private val process = ProcessEventLoop()
    private val received = LinkedBlockingQueue<ReceivedDigest>()
    private val link = DatagramLink(process.group) { digest, _ -> received.add(digest) }

    @AfterTest
    fun stop() {
        link.close()
        process.terminateAfterFlush()
        process.awaitTermination()
    }

    @Test
    fun `given a digest with several crashes of many suspects, then it arrives whole`() {
        val digest = PeerDigest(
            sender = "gateway-1",
            incarnation = 1,
            number = 2,
            admittedTokens = persistentMapOf(AccountId("club") to 9L),
            crashes = (1..4).map(::report).toPersistentList(),
            blocks = persistentSetOf(),
        )
        val bytes = DigestCodec.encode(digest)
        assertTrue(bytes.size > 2_048, "the digest takes ${bytes.size} bytes")
        val endpoint = link.open(Endpoint("127.0.0.1", 0))
        link.send(endpoint, bytes)
        assertEquals<ReceivedDigest?>(ReceivedDigest.Peer(digest), received.poll(5, TimeUnit.SECONDS))
    }

    @Test
    fun `given an address that is no IP address, then nothing is sent and nothing is thrown`() {
        link.open(Endpoint("127.0.0.1", 0))
        listOf("no-such-host.example", "", "300.1.1.1", "a b").forEach { link.send(Endpoint(it, 9), ByteArray(1)) }
    }

    private fun report(number: Int): CrashReport {
        val fingerprints = (1..24).map { RequestFingerprint(number * 1_000_000_007L + it) }
        val parts = fingerprints.associate {
            CrashTrait.PromptPart(PromptPartId("part$it")) to SuspectRequests(breadth = 99, persistentSetOf(it))
        }
        val repeats = fingerprints.associate { CrashTrait.Repeat(it) to SuspectRequests.repeatsOf(it) }
        return CrashReport(
            crash = UpstreamIncarnation(UpstreamId("i-$number"), startedMillis = 9),
            place = CrashPlace(ServiceName("engines"), "10.0.0.$number"),
            age = 70.milliseconds,
            suspects = (parts + repeats).toPersistentMap(),
        )
    }
}
